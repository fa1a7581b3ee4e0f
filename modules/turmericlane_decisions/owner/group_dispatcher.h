#pragma once

#include "../messages/reason_listener.h"
#include "owner_actions.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <memory>

namespace turmericlane
{

/** The owner's side of searches: queues sub-requests by rank until a slot of
    their group is free, chooses replicas, hedges, retries, and refuses what
    can't be answered in time.

    A group gets its state when the first sub-request for it arrives. The class
    does no I/O: callers report events, and owner_actions receives the resulting
    actions. It takes the time from the given clock. It is not thread-safe.

    @see search_coordinator, owner_actions
*/
class group_dispatcher
{
public:
    /** @param seed         seed of the random choice among replicas
        @param time_source  clock; must outlive the dispatcher
        @param actions      receives the actions; must outlive the dispatcher
        @param listener     observes refusals and retries; may be null */
    group_dispatcher(
        std::uint64_t seed,
        const clock& time_source,
        owner_actions& actions,
        reason_listener* listener);
    ~group_dispatcher();
    group_dispatcher(const group_dispatcher&) = delete;
    group_dispatcher& operator=(const group_dispatcher&) = delete;

    /** Makes a bundle the active one: new, changed and leaving searchers. */
    void on_bundle(std::shared_ptr<const bundle> new_bundle);

    /** Handles the sub-requests of an entry. Each one is answered exactly once
        by owner_actions::reply, unless it is cancelled. */
    void on_batch(ordinal entry, const search_batch& batch);

    /** Cancels the unanswered sub-requests of a query. */
    void on_cancel(query_id id);

    /** Cancels all sub-requests of an entry, as the connection to it is
        lost. */
    void on_entry_lost(ordinal entry);

    /** Handles the end of an attempt. */
    void on_backend_reply(attempt_id id, const backend_reply& reply);

    /** Handles the end of an attempt. The hits are moved from the reply to the
        answer for the entry, which saves a copy. */
    void on_backend_reply(attempt_id id, backend_reply&& reply);

    /** Handles a reply of a backend server's load endpoint. */
    void on_load_report(const load_report& report);

    /** Handles the news, from the list of searchers or from a server itself,
        that the server is leaving or back in service. The list may lag. */
    void on_server_leaving(searcher_id server, bool is_leaving);

    /** Resets load and health measurements, which a pause of the process has
        made out of date. */
    void on_pause_detected();

    /** Handles due timers. Call it at or soon after next_wakeup(). */
    void on_timer();

    /** Returns when on_timer() has to be called next; time_point::max() for
        never. */
    time_point next_wakeup() const;

    /** Returns the number of sub-requests of all groups that wait for a slot
        for their first attempt or a retry. */
    std::size_t waiting_count() const;

    /** Returns the number of attempts in flight at a backend server. */
    std::uint32_t attempts_in_flight(searcher_id server) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
