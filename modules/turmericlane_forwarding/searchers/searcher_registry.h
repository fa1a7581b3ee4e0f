#pragma once

#include "searcher.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericlane
{

/** Receives the changes of a searcher_registry; must not call back. */
class searcher_listener
{
public:
    virtual ~searcher_listener() = default;

    /** A searcher may get new work. */
    virtual void
    searcher_added(const std::shared_ptr<searcher>& changed_searcher) = 0;

    /** A searcher gets no new work: it drains, or its entry is gone.
        @param why  short text for the log */
    virtual void searcher_leaving(
        const std::shared_ptr<searcher>& changed_searcher,
        std::string_view reason) = 0;
};

/** The searchers that are believed to exist, by id and by service.

    Entries come from a store that may be away. Entries lapse meanwhile, and a
    living searcher publishes itself again soon after the store's return: until
    then, removals are put off. With the store in reach a removal counts at
    once.

    Decision code; one thread uses it.

    @see searcher
*/
class searcher_registry
{
public:
    /** @param time      clock; must outlive the registry
        @param listener  is told of changes; must outlive the registry */
    searcher_registry(const clock& time, searcher_listener& listener);

    /** An entry was written. */
    void on_entry(const searcher_entry& entry);

    /** An entry was removed, or does not describe a searcher any more. */
    void on_removed(const std::string& id);

    /** Removals that arrive until then take effect only then, unless the entry
        is written again. */
    void defer_removals(time_point deferral_end);

    /** The address of a searcher is served by another one. */
    void on_misdirected(const std::string& id);

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Searchers of a service that get new work. */
    std::span<const std::shared_ptr<searcher>>
    service_searchers(const std::string& service) const;

    /** Number of searchers that get new work, by data centre. */
    std::map<std::string, std::size_t> count_by_data_centre() const;

    /** Calls a function for each searcher. */
    void for_each(const std::function<void(const std::shared_ptr<searcher>&)>&
                      callback) const;

    /** Searchers known, leaving ones included. */
    std::size_t size() const noexcept
    {
        return searchers_by_id_.size();
    }

private:
    void remove(const std::string& id, std::string_view reason);
    void add_to_service(const std::shared_ptr<searcher>& target);
    void remove_from_service(
        const std::shared_ptr<searcher>& target, std::string_view reason);

    const clock& clock_;
    searcher_listener& listener_;
    std::unordered_map<std::string, std::shared_ptr<searcher>> searchers_by_id_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<searcher>>>
        searchers_by_service_;
    time_point removal_deferral_end_{};
    /** Ids whose removal is put off. */
    std::vector<std::string> deferred_removals_;
};

} // namespace turmericlane
