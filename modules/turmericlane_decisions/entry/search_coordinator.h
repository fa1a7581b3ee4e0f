#pragma once

#include "../messages/reason_listener.h"
#include "entry_actions.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <memory>

namespace turmericlane
{

/** The entry's side of searches: admits by rank, pins bundle, partition map
    and snapshot, asks the owners, merges their replies, and answers in full or
    at the deadline.

    Decision code: events go in, actions come out through entry_actions. It
    reads time from the clock that it was given. One thread calls it at a time.

    @see group_dispatcher, entry_actions
*/
class search_coordinator
{
public:
    /** @param self       ordinal of this instance
        @param nonce      start-up nonce of this instance
        @param time       clock; must outlive the coordinator
        @param directory  live owners; must outlive the coordinator
        @param actions    receives the actions; must outlive the coordinator
        @param listener   observes refusals and retries; may be null */
    search_coordinator(
        ordinal self,
        std::uint64_t nonce,
        const clock& time,
        const owner_directory& directory,
        entry_actions& actions,
        reason_listener* listener);
    ~search_coordinator();
    search_coordinator(const search_coordinator&) = delete;
    search_coordinator& operator=(const search_coordinator&) = delete;

    /** Puts a bundle in force for new queries. Running ones keep theirs. */
    void on_bundle(std::shared_ptr<const bundle> in_force);

    /** Starts a search. A refusal is handed to entry_actions::finish before
        this returns.
        @returns the id under which finish is called */
    query_id on_search(const search_request& request);

    /** An owner answered for one group. */
    void on_shard_reply(const shard_reply& reply);

    /** The connection to an owner is lost: parts that wait for it go to the
        next candidate if the deadline allows. */
    void on_owner_lost(ordinal owner);

    /** The caller went away: cancels the query without an answer. */
    void on_caller_gone(query_id id);

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Queries that were admitted and have no answer yet. */
    std::size_t in_flight() const;

    /** The adaptive limit of concurrent queries of a rank, for metrics. */
    double rank_limit(rank work) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
