#pragma once

#include "../messages/reason_listener.h"
#include "../timing/timer_heap.h"
#include "admission.h"
#include "entry_actions.h"
#include "fastest_times.h"
#include "owner_views.h"
#include "query_state.h"
#include "snapshot_view.h"

#include <unordered_map>

namespace turmericlane
{

/** The working of search_coordinator: runs queries from admission to answer.

    Decision code; one thread calls it at a time. The methods are those of
    search_coordinator.

    @see search_coordinator, query_state
*/
class search_engine
{
public:
    /** Makes an engine; for the arguments see search_coordinator. */
    search_engine(
        ordinal self,
        std::uint64_t nonce,
        const clock& time,
        const owner_directory& directory,
        entry_actions& actions,
        reason_listener* listener);

    /** Puts a bundle in force for new queries. */
    void on_bundle(std::shared_ptr<const bundle> in_force);
    /** Starts a search. */
    query_id on_search(const search_request& request);
    /** An owner answered for one group. */
    void on_shard_reply(const shard_reply& reply);
    /** The connection to an owner is lost. */
    void on_owner_lost(ordinal owner);
    /** Cancels a query without an answer. */
    void on_caller_gone(query_id id);
    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called. */
    time_point next_wakeup() const
    {
        return timers_.first_due();
    }

    /** Queries that have no answer yet. */
    std::size_t in_flight() const
    {
        return queries_.size();
    }

    /** The adaptive limit of a rank. */
    double rank_limit(rank work) const
    {
        return admission_.limit(work);
    }

private:
    using part = query_state::part;

    reason find_services(const search_request& request);
    reason admit(const search_request& request, time_point now);
    void refuse(query_id id, const search_request& request, reason why);
    void send(query_state& query, std::span<part* const> parts);
    void send_batches(query_state& query);
    bool choose_owner(query_state& query, part& of, ordinal& owner) const;
    duration overhead(ordinal owner, const query_state& query) const;
    void give_up_unsent(query_state& query, part& of);
    bool matches(query_state& query, const shard_reply& reply);
    void measure(query_state& query, const shard_reply& reply, ordinal owner);
    void note_delay(query_state& query, const shard_reply& reply);
    void
    on_part_answered(query_state& query, part& of, const shard_reply& reply);
    void on_part_failed(query_state& query, part& of, const shard_reply& reply);
    void on_snapshot_lost(query_state& query, part& of, reason why);
    bool repin(query_state& query);
    bool ask_again(query_state& query, part& of);
    std::uint64_t newest_common(const query_state& query) const;
    void check_owners(query_state& query);
    void resend(query_state& query, std::span<part* const> parts, reason why);
    void finish_if_complete(query_state& query);
    void finish(query_state& query, bool at_deadline);
    void cancel_waiting(const query_state& query);
    void set_timer(const query_state& query, time_point now);
    void drop_stale_timers();
    void count_drop(reason why, rank work);

    const ordinal self_;
    const std::uint64_t nonce_;
    const clock& time_;
    const owner_directory& directory_;
    entry_actions& actions_;
    reason_listener* const listener_;

    std::shared_ptr<const pinned_bundle> in_force_;
    admission admission_;
    snapshot_view snapshots_;
    fastest_times fastest_;
    std::uint64_t last_counter_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<query_state>> queries_;
    owner_views owners_;
    timer_heap<std::uint64_t> timers_;
    /** Kept between calls to save allocations. */
    std::vector<const service_map*> found_services_;
    std::vector<std::pair<ordinal, part*>> targets_;
};

} // namespace turmericlane
