#pragma once

#include "../messages/reason_listener.h"
#include "../timing/timer_heap.h"
#include "extra_attempt_policy.h"
#include "group_registry.h"
#include "sub_request_table.h"

#include <random>

namespace turmericlane
{

/** Implementation of group_dispatcher: handles sub-requests from their arrival
    to their answer.

    It has the public methods of group_dispatcher, which documents them. It does
    no I/O and is not thread-safe.

    @see group_dispatcher, group_registry
*/
class dispatch_engine
{
public:
    /** Creates an engine; group_dispatcher documents the arguments. */
    dispatch_engine(
        std::uint64_t seed,
        const clock& time_source,
        owner_actions& actions,
        reason_listener* listener);

    /** Makes a bundle the active one. */
    void on_bundle(std::shared_ptr<const bundle> new_bundle);

    /** Handles the sub-requests of an entry. */
    void on_batch(ordinal entry, const search_batch& batch);

    /** Cancels the unanswered sub-requests of a query. */
    void on_cancel(query_id id);

    /** Cancels all sub-requests of an entry. */
    void on_entry_lost(ordinal entry);

    /** Handles the end of an attempt; the hits are moved out of the reply. */
    void on_backend_reply(attempt_id id, backend_reply&& reply);

    /** Handles a reply of a server's load endpoint. */
    void on_load_report(const load_report& report);

    /** Handles the news that a server is leaving or back in service. */
    void on_server_leaving(searcher_id server, bool is_leaving);

    /** Resets the measurements after a pause of the process. */
    void on_pause_detected();

    /** Handles due timers. */
    void on_timer();

    /** Returns when on_timer() has to be called next. */
    time_point next_wakeup() const
    {
        return timers_.first_due();
    }

    /** Returns the number of sub-requests that wait for a slot for their first
        attempt or a retry. */
    std::size_t waiting_count() const
    {
        return waiting_count_;
    }

    /** Returns the number of attempts in flight at a server. */
    std::uint32_t attempts_in_flight(searcher_id id);

private:
    using wait_target = sub_request_record::wait_target;

    struct sub_request_timer
    {
        std::uint64_t sub_request = 0;
        time_point due;
    };

    // Arrival.
    void add_sub_request(
        std::uint64_t batch_handle,
        group_state& group,
        const search_batch::part& requested_part);
    reason
    refusal_reason(const group_state* group, const batch_record& batch) const;
    void refuse_sub_request(
        ordinal entry,
        const search_batch& batch,
        const search_batch::part& requested_part,
        const group_state* group,
        reason cause);

    // Dispatch to free slots.
    void dispatch_waiting(group_state& group);
    void dispatch_all_groups();
    void remove_withdrawn_items(group_state& group);
    bool
    dispatch_extra_attempt(group_state& group, std::optional<rank> next_rank);
    bool dispatch_queued(group_state& group, rank request_rank);
    bool may_start_extra(
        const group_state& group,
        const sub_request_record& sub_request,
        std::optional<rank> next_rank) const;
    bool start_extra_attempt(std::uint64_t handle);
    void start_hedge(std::uint64_t handle, const replica_set::choice& choice);
    replica_set::choice choose_server(const sub_request_record& sub_request);
    void start_attempt(std::uint64_t handle, const replica_set::choice& choice);
    void send_attempt(
        attempt_id id,
        const sub_request_record& sub_request,
        searcher_id server);

    // Ends of attempts.
    void handle_reply(
        std::uint64_t handle,
        const attempt_record& attempt,
        backend_reply&& reply);
    void on_attempt_failure(std::uint64_t handle, reason cause);
    void give_up_attempt(attempt_id id);

    // Timers.
    void check_sub_request(std::uint64_t handle);
    bool give_up_slow_attempts(std::uint64_t handle);
    void queue_hedge_if_due(std::uint64_t handle);
    void set_check_timer(std::uint64_t handle);
    void set_timer(std::uint64_t handle, time_point due);
    void drop_stale_timers();

    // Answers.
    void fail_sub_request(std::uint64_t handle, reason cause);
    void send_answer(std::uint64_t handle);
    void remove_from_queue(std::uint64_t handle);
    void remove_sub_request(std::uint64_t handle);
    void count_refusal(reason cause, rank request_rank);

    const clock& clock_;
    owner_actions& actions_;
    reason_listener* const listener_;
    std::mt19937_64 random_;
    group_registry registry_;
    sub_request_table sub_requests_;
    slot_map<attempt_record> attempts_;
    timer_heap<sub_request_timer> timers_;
    extra_attempt_policy extra_policy_;
    std::size_t waiting_count_ = 0;
    /** Members rather than locals to avoid allocations. */
    backend_request request_;
    shard_reply reply_;
};

} // namespace turmericlane
