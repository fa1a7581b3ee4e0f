#pragma once

#include "searcher.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmericlane
{

/** Receives the changes of a searcher_registry. Implementations must not call
    the registry. */
class searcher_listener
{
public:
    virtual ~searcher_listener() = default;

    /** A searcher became available for new requests. */
    virtual void
    searcher_added(const std::shared_ptr<searcher>& changed_searcher) = 0;

    /** A searcher must not get new requests any more: it is draining, its
        entry was removed, or its data centre is evacuated.
        @param reason  short text for the log */
    virtual void searcher_leaving(
        const std::shared_ptr<searcher>& changed_searcher,
        std::string_view reason) = 0;
};

/** The known searchers, by id and by service.

    Entries come from a store that may be unavailable. Entries expire during an
    outage, and a running searcher publishes itself again soon after the store
    is back; until then, removals are deferred. Otherwise a removal takes effect
    at once.

    A searcher that said in an answer that it is leaving stays out of use even
    if its entry says otherwise: the store may lag or be down.

    While a data centre is evacuated, its searchers get no new requests, but
    their entries are followed, so that they are available again at once.

    Decision code without input or output. Not thread-safe.

    @see searcher
*/
class searcher_registry
{
public:
    /** @param time      clock; must outlive the registry
        @param listener  receives changes; must outlive the registry */
    searcher_registry(const clock& time, searcher_listener& listener);

    /** Call when an entry was written. */
    void on_entry(const searcher_entry& published_entry);

    /** Call when an entry was removed, or can no longer be read as a
        searcher. */
    void on_removed(const std::string& id);

    /** Defers removals that arrive before the given time until that time. A
        deferred removal is dropped if the entry is written again. */
    void defer_removals(time_point deferral_end);

    /** Call when a searcher itself said that it is leaving. From then on its
        process gets no new requests whatever the store or a peer says; only
        another process with its id does.
        @param incarnation  process that is leaving, from its entry
        @returns true if this was not known before and no other process has the
                 id by now */
    bool on_departure(const std::string& id, std::uint64_t incarnation);

    /** Call when a peer reported that a searcher is leaving. The report lowers
        its rank among the replicas for a short time only: a wrong one must not
        hide a searcher.
        @returns true if the searcher is known and not leaving yet */
    bool
    on_departure_reported(const std::string& id, std::uint64_t incarnation);

    /** Call when another searcher answers at the address of a searcher. */
    void on_misdirected(const std::string& id);

    /** Call when operators ordered the evacuation of a data centre, or ended
        it. An order may precede the searchers that it concerns, and repeated
        orders have no effect.
        @returns true if the state of the data centre changed */
    bool on_evacuation(const std::string& data_centre, bool is_active);

    /** True if the searcher's data centre is evacuated. */
    bool is_evacuated(const searcher& target) const;

    /** Returns the evacuated data centres. */
    const std::set<std::string>& evacuated_data_centres() const noexcept
    {
        return evacuated_data_centres_;
    }

    /** Returns the number of searchers in a data centre, including leaving and
        evacuated ones. */
    std::size_t count_in(std::string_view data_centre) const;

    /** Call at or after next_wakeup(). */
    void on_timer();

    /** Returns when on_timer() must be called next; time_point::max() for
        never. */
    time_point next_wakeup() const;

    /** Returns the searcher with an id, also a leaving one; null if there is
        none. */
    std::shared_ptr<searcher> find(const std::string& id) const;

    /** Returns the searchers of a service that may get new requests. */
    std::span<const std::shared_ptr<searcher>>
    service_searchers(const std::string& service) const;

    /** Returns the number of searchers that may get new requests, by data
        centre. */
    std::map<std::string, std::size_t> count_by_data_centre() const;

    /** Calls a function for each searcher, including leaving ones. */
    void for_each(const std::function<void(const std::shared_ptr<searcher>&)>&
                      callback) const;

    /** Returns the number of searchers, including leaving ones. */
    std::size_t size() const noexcept
    {
        return searchers_by_id_.size();
    }

private:
    /** Id and incarnation. */
    using searcher_process = std::pair<std::string, std::uint64_t>;

    bool has_departed(const std::string& id, std::uint64_t incarnation) const;
    void remember_departure(const std::string& id, std::uint64_t incarnation);
    void remove(const std::string& id, std::string_view reason);
    /** Adds the searcher to its service if it may get new requests, and
        removes it otherwise.
        @param reason  for the listener, if it is removed */
    void update_use(
        const std::shared_ptr<searcher>& target, std::string_view reason);
    /** Removes the searcher for good. */
    void
    retire(const std::shared_ptr<searcher>& target, std::string_view reason);

    const clock& clock_;
    searcher_listener& listener_;
    std::unordered_map<std::string, std::shared_ptr<searcher>> searchers_by_id_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<searcher>>>
        searchers_by_service_;
    std::set<std::string> evacuated_data_centres_;
    time_point removal_deferral_end_{};
    /** Ids of the searchers whose removal is deferred. */
    std::vector<std::string> deferred_removals_;
    /** Processes that said that they are leaving. Several may have had the same
        id, and a store that comes back from an older copy may show an earlier
        one. Incarnations are not compared by size, because the clock of a
        searcher's host may be set back. */
    std::set<searcher_process> departures_;
    /** Content of departures_, the oldest first. */
    std::deque<searcher_process> departure_order_;
};

} // namespace turmericlane
