#pragma once

#include "../messages/reason_listener.h"
#include "../timing/timer_heap.h"
#include "concurrency_limiter.h"
#include "entry_actions.h"
#include "fastest_times.h"
#include "owner_observations.h"
#include "query_state.h"
#include "snapshot_ranges.h"

#include <unordered_map>

namespace turmericlane
{

/** Implements search_coordinator: runs queries from admission to answer. For
    the public methods see there.

    It does no I/O. One thread calls it at a time.

    @see search_coordinator, query_state
*/
class search_engine
{
public:
    /** Creates an engine without a bundle; for the parameters see
        search_coordinator. */
    search_engine(
        ordinal own_ordinal,
        std::uint64_t nonce,
        const clock& time_source,
        const owner_directory& directory,
        entry_actions& actions,
        reason_listener* listener);

    /** Puts a bundle in force for new queries. */
    void on_bundle(std::shared_ptr<const bundle> bundle_in_force);
    /** Starts a search. */
    query_id on_search(const search_request& request);
    /** Handles the answer of an owner for one group. */
    void on_shard_reply(const shard_reply& reply);
    /** Handles the loss of the connection to an owner. */
    void on_owner_lost(ordinal owner);
    /** Cancels a query without an answer. */
    void on_caller_gone(query_id id);
    /** Handles due timers; to be called at or after next_wakeup. */
    void on_timer();

    /** Returns when on_timer is to be called; time_point::max() for never. */
    time_point next_wakeup() const
    {
        return timers_.first_due();
    }

    /** Returns the number of admitted queries without an answer. */
    std::size_t in_flight() const
    {
        return queries_.size();
    }

    /** Returns the adaptive limit of concurrent queries of a rank. */
    double rank_limit(rank request_rank) const
    {
        return limiter_.limit(request_rank);
    }

private:
    using part = query_state::part;

    reason find_services(const search_request& request);
    reason admit(const search_request& request, time_point now);
    void refuse(query_id id, const search_request& request, reason cause);
    void send_parts(query_state& query, std::span<part* const> parts);
    void send_batches(query_state& query);
    bool
    choose_owner(query_state& query, part& sub_request, ordinal& owner) const;
    duration expected_overhead(ordinal owner, const query_state& query) const;
    void fail_unless_pending(query_state& query, part& sub_request);
    bool accept_reply(query_state& query, const shard_reply& reply);
    void
    record_reply(query_state& query, const shard_reply& reply, ordinal owner);
    void record_queue_delay(query_state& query, const shard_reply& reply);
    void on_part_answered(
        query_state& query, part& sub_request, const shard_reply& reply);
    void on_part_failed(
        query_state& query, part& sub_request, const shard_reply& reply);
    void on_snapshot_unavailable(
        query_state& query, part& sub_request, reason cause);
    bool restart_query(query_state& query);
    bool retry_same_snapshot(query_state& query, part& sub_request);
    std::uint64_t choose_snapshot(const query_state& query) const;
    void check_owners(query_state& query);
    void retry_next_owners(
        query_state& query, std::span<part* const> parts, reason cause);
    void finish_if_complete(query_state& query);
    void finish(query_state& query, bool is_at_deadline);
    void cancel_pending(const query_state& query);
    void set_timer(const query_state& query, time_point now);
    void drop_stale_timers();
    void report_refusal(reason cause, rank request_rank);

    const ordinal own_ordinal_;
    const std::uint64_t nonce_;
    const clock& time_source_;
    const owner_directory& directory_;
    entry_actions& actions_;
    reason_listener* const listener_;

    std::shared_ptr<const pinned_bundle> bundle_in_force_;
    concurrency_limiter limiter_;
    snapshot_ranges snapshot_ranges_;
    fastest_times fastest_times_;
    std::uint64_t last_counter_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<query_state>> queries_;
    owner_observations owner_observations_;
    timer_heap<std::uint64_t> timers_;
    /** Members instead of locals to save allocations. */
    std::vector<const service_map*> requested_services_;
    std::vector<std::pair<ordinal, part*>> targets_;
};

} // namespace turmericlane
