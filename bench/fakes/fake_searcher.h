#pragma once

#include "../check/answer_checker.h"
#include "../driver/event_queue.h"
#include "../model/deployment.h"

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <deque>
#include <unordered_map>

namespace turmericlane::bench
{

/** Simulates a backend server with slots, a FIFO queue, a connection limit,
    deadlines, cancellation, draining, load shedding, slow answers after a
    start, two live snapshots and two live epochs. Its hits state the query, the
    snapshot, the epoch and the group.

    @see fake_backend_client
*/
class fake_searcher
{
public:
    using reply_callback = std::function<void(const backend_reply&)>;

    /** Adjustable behaviour, which the scenario changes during a run. */
    struct behaviour
    {
        /** Factor by which service times are multiplied. */
        double service_time_factor = 1.0;
        double straggler_share = 0.0;
        time_point cold_until{};
        bool refuses_connections = false;
        bool is_draining = false;
        bool has_inverted_load = false;
        snapshot_range snapshots{1, 1};
        snapshot_range epochs{1, 1};
    };

    fake_searcher(
        std::uint64_t seed,
        event_queue& events,
        answer_checker& checker,
        const service_map& service,
        const group& searcher_group,
        const searcher& definition);

    behaviour& state() noexcept
    {
        return state_;
    }

    /** Opens a connection. Returns false if the server refuses it. */
    bool open_connection();

    /** Closes a connection that was opened in an incarnation. Does nothing if
        the server has restarted since. */
    void close_connection(std::uint64_t incarnation);

    /** Returns a number that changes with each restart, which closes all
        connections. */
    std::uint64_t incarnation() const noexcept
    {
        return incarnation_;
    }

    /** Accepts or rejects a request. `on_reply` is called exactly once,
        possibly before this returns.
        @returns the token that cancels the request */
    std::uint64_t
    submit(const backend_request& request, reply_callback on_reply);

    /** Cancels an unfinished request and frees its slot. */
    void cancel(std::uint64_t token);

    /** Closes all connections and fails all requests. */
    void restart();

    /** Returns the reply of the load endpoint. */
    load_report report() const;

    const searcher& definition() const noexcept
    {
        return definition_;
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
    struct request_record
    {
        backend_request request;
        time_point deadline;
        reply_callback on_reply;
        std::uint64_t snapshot = 0;
        std::uint64_t epoch = 0;
        bool is_running = false;
    };

    void finish(std::uint64_t token, backend_status status);
    void start_next();
    void start(std::uint64_t token, request_record& record);
    duration service_time(const request_record& record);
    bool
    try_reject(const backend_request& request, const reply_callback& on_reply);
    void fill_reply(const request_record& record, backend_reply& reply) const;

    std::uint64_t seed_;
    event_queue& events_;
    answer_checker& checker_;
    searcher definition_;
    group_id group_;
    std::uint32_t data_centre_;
    std::uint32_t slots_;
    std::uint32_t connection_limit_;
    duration connect_cost_;
    behaviour state_;
    std::uint64_t incarnation_ = 1;
    std::uint32_t connection_count_ = 0;
    std::uint32_t running_count_ = 0;
    std::uint64_t last_token_ = 0;
    std::unordered_map<std::uint64_t, request_record> requests_;
    std::deque<std::uint64_t> waiting_tokens_;
};

} // namespace turmericlane::bench
