#pragma once

#include "../messages/reason_listener.h"
#include "../timing/timer_heap.h"
#include "extra_attempt_policy.h"
#include "group_registry.h"
#include "sub_request_table.h"

#include <random>

namespace turmericlane
{

/** The working of group_dispatcher: takes parts from arrival to their answer.

    Decision code; one thread calls it at a time. The methods are those of
    group_dispatcher.

    @see group_dispatcher, group_registry
*/
class dispatch_engine
{
public:
    /** Makes an engine; for the arguments see group_dispatcher. */
    dispatch_engine(
        std::uint64_t seed,
        const clock& time,
        owner_actions& actions,
        reason_listener* listener);

    /** Puts a bundle in force. */
    void on_bundle(std::shared_ptr<const bundle> in_force);

    /** An entry asks for parts. */
    void on_batch(ordinal entry, const search_batch& batch);

    /** An entry no longer wants a query's parts. */
    void on_cancel(query_id id);

    /** The connection to an entry is lost. */
    void on_entry_lost(ordinal entry);

    /** An attempt ended; the hits move out of the reply. */
    void on_backend_reply(attempt_id id, backend_reply&& reply);

    /** The load endpoint of a server answered. */
    void on_load_report(const load_report& report);

    /** The list says that a server leaves or is back. */
    void on_server_leaving(searcher_id server, bool leaving);

    /** The process was paused. */
    void on_pause_detected();

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called. */
    time_point next_wakeup() const
    {
        return timers_.first_due();
    }

    /** Parts that wait for a slot. */
    std::size_t queued() const
    {
        return queued_;
    }

    /** Requests in flight to a server. */
    std::uint32_t in_flight(searcher_id server);

private:
    using waiting = sub_request_record::waiting;

    struct part_timer
    {
        std::uint64_t part = 0;
        time_point due;
    };

    // Arrival.
    void take_part(
        std::uint64_t batch,
        group_state& group,
        const search_batch::part& asked);
    reason refusal(const group_state* group, const batch_record& batch) const;
    void refuse(
        ordinal entry,
        const search_batch& batch,
        const search_batch::part& asked,
        const group_state* group,
        reason why);

    // Slots.
    void pump(group_state& group);
    void pump_all();
    void drop_withdrawn(group_state& group);
    bool pump_extra(group_state& group, std::optional<rank> next);
    bool pump_first(group_state& group, rank work);
    bool extra_may_go(
        const group_state& group,
        const sub_request_record& part,
        std::optional<rank> next) const;
    bool start_extra(std::uint64_t handle);
    void start_hedge(std::uint64_t handle, const replica_set::choice& on);
    replica_set::choice choose(const sub_request_record& part);
    void start(std::uint64_t handle, const replica_set::choice& on);
    void
    send(attempt_id id, const sub_request_record& part, searcher_id server);

    // Ends of attempts.
    void take_reply(
        std::uint64_t handle,
        const attempt_record& attempt,
        backend_reply&& reply);
    void on_failed(std::uint64_t handle, reason why);
    void give_up_attempt(attempt_id id);

    // Timers.
    void check(std::uint64_t handle);
    bool drop_slow_attempts(std::uint64_t handle);
    void hedge_if_due(std::uint64_t handle);
    void set_check(std::uint64_t handle);
    void set_timer(std::uint64_t handle, time_point due);
    void drop_stale_timers();

    // Answers.
    void fail(std::uint64_t handle, reason why);
    void answer(std::uint64_t handle);
    void withdraw(std::uint64_t handle);
    void remove_part(std::uint64_t handle);
    void count(reason why, rank work);

    const clock& time_;
    owner_actions& actions_;
    reason_listener* const listener_;
    std::mt19937_64 random_;
    group_registry fleet_;
    sub_request_table parts_;
    slot_map<attempt_record> attempts_;
    timer_heap<part_timer> timers_;
    extra_attempt_policy extras_;
    std::size_t queued_ = 0;
    /** Kept between calls to save allocations. */
    backend_request request_;
    shard_reply reply_;
};

} // namespace turmericlane
