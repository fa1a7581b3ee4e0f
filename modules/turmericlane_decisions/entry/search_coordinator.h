#pragma once

#include "../messages/reason_listener.h"
#include "entry_actions.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <memory>

namespace turmericlane
{

/** Runs searches at the entry: admits them by rank, fixes the bundle, the
    partition map and the snapshot of each one, sends its sub-requests to the
    owners, merges their replies, and answers when all have replied or at the
    deadline.

    It does no I/O: its methods receive events, and it issues actions through
    entry_actions. It reads the time from the clock that it was given. One
    thread calls it at a time.

    @see group_dispatcher, entry_actions
*/
class search_coordinator
{
public:
    /** Creates a coordinator without a bundle.
        @param own_ordinal  ordinal of this instance
        @param nonce        start-up nonce of this instance
        @param time_source  clock; must outlive the coordinator
        @param directory    live owners; must outlive the coordinator
        @param actions      receives the actions; must outlive the coordinator
        @param listener     observes refusals and retries; may be null */
    search_coordinator(
        ordinal own_ordinal,
        std::uint64_t nonce,
        const clock& time_source,
        const owner_directory& directory,
        entry_actions& actions,
        reason_listener* listener);
    ~search_coordinator();
    search_coordinator(const search_coordinator&) = delete;
    search_coordinator& operator=(const search_coordinator&) = delete;

    /** Puts a bundle in force for new queries. Running ones keep theirs. */
    void on_bundle(std::shared_ptr<const bundle> bundle_in_force);

    /** Starts a search. If it is refused, entry_actions::finish is called
        before this returns.
        @returns the id of the query in the answer */
    query_id on_search(const search_request& request);

    /** Handles the answer of an owner for one group. */
    void on_shard_reply(const shard_reply& reply);

    /** Handles the loss of the connection to an owner: its pending sub-requests
        go to the next candidates if the deadline allows. */
    void on_owner_lost(ordinal owner);

    /** Cancels a query without an answer, because its caller has gone. */
    void on_caller_gone(query_id id);

    /** Handles due timers; to be called at or after next_wakeup. */
    void on_timer();

    /** Returns when on_timer is to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Returns the number of admitted queries without an answer. */
    std::size_t in_flight() const;

    /** Returns the adaptive limit of concurrent queries of a rank, for
        metrics. */
    double rank_limit(rank request_rank) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
