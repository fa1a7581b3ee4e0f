#pragma once

#include "fake_network.h"
#include "fake_process.h"
#include "fake_searcher.h"

#include <map>
#include <memory>

namespace turmericlane::bench
{

/** The searchers of a run by id. */
using searcher_table = std::map<searcher_id, std::unique_ptr<fake_searcher>>;

/** One instance's HTTP client for the backend servers: keeps connections open,
    sends requests, and reports the end of each one exactly once.

    @see fake_searcher
*/
class backend_link
{
public:
    using end_action = std::function<void(const backend_reply&)>;

    /** @param limit_divisor  opens at most the searcher's connection limit
                              divided by this and lets further requests wait */
    backend_link(
        event_queue& events,
        fake_network& network,
        fake_process& process,
        answer_checker& checker,
        searcher_table& searchers,
        std::uint32_t data_centre,
        std::uint32_t limit_divisor);

    /** Sends a request. `end` is called once, and never from inside.
        @returns the id that cancels it */
    std::uint64_t start(const backend_request& request, end_action end);

    /** Gives up a request; its end is still reported. */
    void cancel(std::uint64_t id);

private:
    enum class stage : std::uint8_t
    {
        waiting,
        connecting,
        sent
    };

    struct attempt
    {
        backend_request request;
        end_action end;
        time_point deadline;
        stage reached = stage::waiting;
        fake_searcher* server = nullptr;
        std::uint64_t incarnation = 0;
        std::uint64_t token = 0;
    };

    struct pool
    {
        std::uint64_t incarnation = 0;
        std::uint32_t idle = 0;
        std::uint32_t open = 0;
        std::deque<std::uint64_t> waiting;
    };

    pool& pool_of(const fake_searcher& server);
    void acquire(std::uint64_t id, attempt& one);
    void connect(std::uint64_t id, attempt& one);
    void on_connected(
        std::uint64_t id, fake_searcher& server, std::uint64_t incarnation);
    void send(std::uint64_t id, attempt& one);
    void arrive(std::uint64_t id);
    void on_reply(std::uint64_t id, const backend_reply& reply);
    void end_later(std::uint64_t id, duration delay, backend_status status);
    void finish(std::uint64_t id, const backend_reply& reply);
    void release(fake_searcher& server, std::uint64_t incarnation, bool keep);
    void serve_waiting(fake_searcher& server);
    bool may_open(const fake_searcher& server, const pool& of) const;
    bool reachable(const fake_searcher& server) const;
    duration hop(const fake_searcher& server) const;

    event_queue& events_;
    fake_network& network_;
    fake_process& process_;
    answer_checker& checker_;
    searcher_table& searchers_;
    std::uint32_t data_centre_;
    std::uint32_t limit_divisor_;
    std::uint64_t ids_ = 0;
    std::unordered_map<std::uint64_t, attempt> attempts_;
    std::unordered_map<searcher_id, pool> pools_;
};

} // namespace turmericlane::bench
