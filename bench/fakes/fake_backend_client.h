#pragma once

#include "fake_network.h"
#include "fake_process.h"
#include "fake_searcher.h"

#include <map>
#include <memory>

namespace turmericlane::bench
{

/** Searchers of a run by id. */
using searcher_table = std::map<searcher_id, std::unique_ptr<fake_searcher>>;

/** Simulates the HTTP client of one instance for the backend servers: it keeps
    connections open, sends requests, and reports the end of each request
    exactly once.

    @see fake_searcher
*/
class fake_backend_client
{
public:
    using completion_callback = std::function<void(const backend_reply&)>;

    /** @param limit_divisor  the client opens at most the connection limit of
                              a searcher divided by this; further requests wait
                              for a connection */
    fake_backend_client(
        event_queue& events,
        fake_network& network,
        fake_process& process,
        answer_checker& checker,
        searcher_table& searchers,
        std::uint32_t data_centre,
        std::uint32_t limit_divisor);

    /** Sends a request. `on_complete` is called exactly once, and never before
        this returns.
        @returns the id that cancels the request */
    std::uint64_t
    start(const backend_request& request, completion_callback on_complete);

    /** Cancels a request; its end is still reported. */
    void cancel(std::uint64_t id);

private:
    enum class attempt_stage : std::uint8_t
    {
        waiting,
        connecting,
        sent
    };

    struct attempt_state
    {
        backend_request request;
        completion_callback on_complete;
        time_point deadline;
        attempt_stage stage = attempt_stage::waiting;
        fake_searcher* server = nullptr;
        std::uint64_t incarnation = 0;
        std::uint64_t token = 0;
    };

    struct connection_pool
    {
        std::uint64_t incarnation = 0;
        std::uint32_t idle_count = 0;
        std::uint32_t open_count = 0;
        std::deque<std::uint64_t> waiting_attempts;
    };

    connection_pool& current_pool(const fake_searcher& server);
    void acquire_connection(std::uint64_t id, attempt_state& attempt);
    void connect(std::uint64_t id, attempt_state& attempt);
    void on_connected(
        std::uint64_t id, fake_searcher& server, std::uint64_t incarnation);
    void send(std::uint64_t id, attempt_state& attempt);
    void on_arrival(std::uint64_t id);
    void on_reply(std::uint64_t id, const backend_reply& reply);
    void finish_after(std::uint64_t id, duration delay, backend_status status);
    void finish(std::uint64_t id, const backend_reply& reply);
    void release_connection(
        fake_searcher& server, std::uint64_t incarnation, bool can_reuse);
    void start_waiting_attempts(fake_searcher& server);
    bool can_open_connection(
        const fake_searcher& server, const connection_pool& pool) const;
    bool is_reachable(const fake_searcher& server) const;
    duration hop_delay(const fake_searcher& server) const;

    event_queue& events_;
    fake_network& network_;
    fake_process& process_;
    answer_checker& checker_;
    searcher_table& searchers_;
    std::uint32_t data_centre_;
    std::uint32_t limit_divisor_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<std::uint64_t, attempt_state> attempts_;
    std::unordered_map<searcher_id, connection_pool> pools_;
};

} // namespace turmericlane::bench
