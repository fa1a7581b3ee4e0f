#pragma once

#include "../check/answer_checker.h"
#include "../driver/event_queue.h"
#include "../model/deployment.h"

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <deque>
#include <unordered_map>

namespace turmericlane::bench
{

/** A backend server: slots, a FIFO queue behind them, a connection limit,
    deadlines, cancellation, drain, shedding, cold start, two live snapshots and
    two live epochs. Its hits name query, snapshot, epoch and group.

    @see backend_link
*/
class fake_searcher
{
public:
    using reply_action = std::function<void(const backend_reply&)>;

    /** How the server behaves; the run changes it. */
    struct behaviour
    {
        /** Factor on the service times. */
        double slow = 1.0;
        double straggler_share = 0.0;
        time_point cold_until{};
        bool refuses = false;
        bool draining = false;
        bool inverted_load = false;
        snapshot_range snapshots{1, 1};
        snapshot_range epochs{1, 1};
    };

    fake_searcher(
        std::uint64_t seed,
        event_queue& events,
        answer_checker& checker,
        const service_map& service,
        const group& in,
        const searcher& self);

    behaviour& state() noexcept
    {
        return state_;
    }

    /** Accepts a connection, or returns false if it refuses. */
    bool open_connection();

    /** Closes a connection that was opened under an incarnation. */
    void close_connection(std::uint64_t incarnation);

    /** Changes with each restart; connections don't survive it. */
    std::uint64_t incarnation() const noexcept
    {
        return incarnation_;
    }

    /** Takes a request; `done` is called once.
        @returns the token that cancels it */
    std::uint64_t submit(const backend_request& request, reply_action done);

    /** Gives up a request that isn't done and frees its slot. */
    void cancel(std::uint64_t token);

    /** Loses all connections and everything that it was doing. */
    void restart();

    /** What the load endpoint states. */
    load_report report() const;

    const searcher& self() const noexcept
    {
        return self_;
    }

    std::uint32_t data_centre() const noexcept
    {
        return data_centre_;
    }

    std::uint32_t connection_limit() const noexcept
    {
        return connection_limit_;
    }

    duration connect_cost() const noexcept
    {
        return connect_cost_;
    }

private:
    struct work
    {
        backend_request request;
        time_point deadline;
        reply_action done;
        std::uint64_t snapshot = 0;
        std::uint64_t epoch = 0;
        bool running = false;
    };

    void finish(std::uint64_t token, backend_status status);
    void start_next();
    void start(std::uint64_t token, work& one);
    duration service_time(const work& one);
    bool refused(const backend_request& request, const reply_action& done);
    void fill(const work& one, backend_reply& reply) const;

    std::uint64_t seed_;
    event_queue& events_;
    answer_checker& checker_;
    searcher self_;
    group_id group_;
    std::uint32_t data_centre_;
    std::uint32_t slots_;
    std::uint32_t connection_limit_;
    duration connect_cost_;
    behaviour state_;
    std::uint64_t incarnation_ = 1;
    std::uint32_t connections_ = 0;
    std::uint32_t running_ = 0;
    std::uint64_t tokens_ = 0;
    std::unordered_map<std::uint64_t, work> works_;
    std::deque<std::uint64_t> waiting_;
};

} // namespace turmericlane::bench
