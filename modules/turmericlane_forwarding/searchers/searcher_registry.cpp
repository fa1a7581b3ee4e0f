#include "searcher_registry.h"

#include <algorithm>

namespace turmericlane
{

searcher_registry::searcher_registry(
    const clock& time, searcher_listener& listener)
    : clock_(time)
    , listener_(listener)
{
}

void searcher_registry::on_entry(const searcher_entry& entry)
{
    std::erase(lapsed_, entry.id);
    const auto found = by_id_.find(entry.id);
    if (found == by_id_.end())
    {
        auto made = std::make_shared<searcher>(entry, clock_.now());
        by_id_.emplace(entry.id, made);
        if (!made->leaving())
            enlist(made);
        return;
    }
    auto known = found->second;
    if (known->entry() == entry)
        return;
    const auto moved = known->entry().service != entry.service ||
                       known->entry().address != entry.address ||
                       known->entry().port != entry.port ||
                       known->entry().incarnation != entry.incarnation;
    if (moved)
    {
        // Connections and attempts of the former process keep its object.
        delist(known, "replaced");
        by_id_.erase(found);
        on_entry(entry);
        return;
    }
    const auto was_leaving = known->leaving();
    known->update(entry, clock_.now());
    if (!was_leaving && known->leaving())
        delist(known, "draining");
    else if (was_leaving && !known->leaving())
        enlist(known);
}

void searcher_registry::on_removed(const std::string& id)
{
    if (!by_id_.contains(id))
        return;
    if (clock_.now() >= removals_from_)
    {
        remove(id, "removed");
        return;
    }
    if (std::find(lapsed_.begin(), lapsed_.end(), id) == lapsed_.end())
        lapsed_.push_back(id);
}

void searcher_registry::put_off_removals(time_point until)
{
    removals_from_ = std::max(removals_from_, until);
}

void searcher_registry::on_misdirected(const std::string& id)
{
    remove(id, "address serves another searcher");
}

void searcher_registry::on_timer()
{
    if (clock_.now() < next_wakeup())
        return;
    const auto gone = std::move(lapsed_);
    lapsed_.clear();
    for (const auto& it : gone)
        remove(it, "lapsed");
}

time_point searcher_registry::next_wakeup() const
{
    return lapsed_.empty() ? time_point::max() : removals_from_;
}

std::span<const std::shared_ptr<searcher>>
searcher_registry::of_service(const std::string& service) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return {};
    return found->second;
}

std::map<std::string, std::size_t>
searcher_registry::count_by_data_centre() const
{
    std::map<std::string, std::size_t> made;
    for (const auto& [service, all] : by_service_)
    {
        for (const auto& it : all)
            ++made[it->entry().data_centre];
    }
    return made;
}

void searcher_registry::for_each(
    const std::function<void(const std::shared_ptr<searcher>&)>& call) const
{
    for (const auto& [id, which] : by_id_)
        call(which);
}

void searcher_registry::remove(const std::string& id, std::string_view why)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
        return;
    const auto which = found->second;
    by_id_.erase(found);
    delist(which, why);
}

void searcher_registry::enlist(const std::shared_ptr<searcher>& which)
{
    by_service_[which->entry().service].push_back(which);
    listener_.searcher_added(which);
}

void searcher_registry::delist(
    const std::shared_ptr<searcher>& which, std::string_view why)
{
    which->remove();
    for (auto& [service, all] : by_service_)
    {
        if (std::erase(all, which) > 0)
            listener_.searcher_leaving(which, why);
    }
}

} // namespace turmericlane
