#pragma once

#include "../messages/reason_listener.h"
#include "owner_actions.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <memory>

namespace turmericlane
{

/** The owner's side of searches: queues parts by rank before the slots of each
    group, chooses replicas, hedges, retries and sheds.

    Groups get their state when the first part for them arrives. Decision code:
    events go in, actions come out through owner_actions. It reads time from the
    clock that it was given. One thread calls it at a time.

    @see search_coordinator, owner_actions
*/
class group_dispatcher
{
public:
    /** @param seed      seed of the choices among replicas
        @param time      clock; must outlive the dispatcher
        @param actions   receives the actions; must outlive the dispatcher
        @param listener  observes refusals and retries; may be null */
    group_dispatcher(
        std::uint64_t seed,
        const clock& time,
        owner_actions& actions,
        reason_listener* listener);
    ~group_dispatcher();
    group_dispatcher(const group_dispatcher&) = delete;
    group_dispatcher& operator=(const group_dispatcher&) = delete;

    /** Puts a bundle in force: new, changed and leaving searchers. */
    void on_bundle(std::shared_ptr<const bundle> in_force);

    /** An entry asks for parts. Every part is answered exactly once by
        owner_actions::reply, unless it is cancelled. */
    void on_batch(ordinal entry, const search_batch& batch);

    /** An entry no longer wants the parts of a query that are not answered. */
    void on_cancel(query_id id);

    /** The connection to an entry is lost: cancels all its parts. */
    void on_entry_lost(ordinal entry);

    /** An attempt ended. */
    void on_backend_reply(attempt_id id, const backend_reply& reply);

    /** An attempt ended. The hits move from the reply to the entry's answer,
        which saves a copy. */
    void on_backend_reply(attempt_id id, backend_reply&& reply);

    /** The load endpoint of a backend server answered. */
    void on_load_report(const load_report& report);

    /** The lagging list, or a server itself, says that it leaves or is back. */
    void on_server_leaving(searcher_id server, bool leaving);

    /** The process was paused: views of load and health are out of date. */
    void on_pause_detected();

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Parts that wait for a slot, over all groups. */
    std::size_t queued() const;

    /** Requests in flight to a backend server. */
    std::uint32_t in_flight(searcher_id server) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
