#include "searcher_registry.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Bounds the memory for departures; a searcher that left that many departures
    ago no longer runs. */
constexpr std::size_t max_remembered_departures = 8192;

constexpr std::string_view draining_reason = "draining";
constexpr std::string_view evacuated_reason = "evacuated";

} // namespace

searcher_registry::searcher_registry(
    const clock& time, searcher_listener& listener)
    : clock_(time)
    , listener_(listener)
{
}

void searcher_registry::on_entry(const searcher_entry& published_entry)
{
    auto entry = published_entry;
    if (has_departed(entry.id, entry.incarnation))
        entry.is_draining = true;
    std::erase(deferred_removals_, entry.id);
    const auto match = searchers_by_id_.find(entry.id);
    if (match == searchers_by_id_.end())
    {
        auto added_searcher = std::make_shared<searcher>(entry, clock_.now());
        searchers_by_id_.emplace(entry.id, added_searcher);
        update_use(added_searcher, draining_reason);
        return;
    }
    auto current = match->second;
    if (current->entry() == entry)
        return;
    const auto is_replaced = current->entry().service != entry.service ||
                             current->entry().address != entry.address ||
                             current->entry().port != entry.port ||
                             current->entry().incarnation != entry.incarnation;
    if (is_replaced)
    {
        // Connections and attempts of the former process still own the old
        // searcher object, so that its statistics stay separate.
        retire(current, "replaced");
        searchers_by_id_.erase(match);
        on_entry(entry);
        return;
    }
    current->update(entry, clock_.now());
    update_use(
        current, current->is_leaving() ? draining_reason : evacuated_reason);
}

void searcher_registry::on_removed(const std::string& id)
{
    if (!searchers_by_id_.contains(id))
        return;
    if (clock_.now() >= removal_deferral_end_)
    {
        remove(id, "removed");
        return;
    }
    if (std::find(deferred_removals_.begin(), deferred_removals_.end(), id) ==
        deferred_removals_.end())
        deferred_removals_.push_back(id);
}

void searcher_registry::defer_removals(time_point deferral_end)
{
    removal_deferral_end_ = std::max(removal_deferral_end_, deferral_end);
}

bool searcher_registry::on_departure(
    const std::string& id, std::uint64_t incarnation)
{
    if (has_departed(id, incarnation))
        return false;
    remember_departure(id, incarnation);
    const auto match = searchers_by_id_.find(id);
    if (match == searchers_by_id_.end())
        return true;
    const auto current = match->second;
    if (current->entry().incarnation != incarnation)
        return false;
    const auto was_leaving = current->is_leaving();
    auto entry = current->entry();
    entry.is_draining = true;
    current->update(std::move(entry), clock_.now());
    update_use(current, "departing");
    return !was_leaving;
}

bool searcher_registry::on_departure_reported(
    const std::string& id, std::uint64_t incarnation)
{
    const auto match = searchers_by_id_.find(id);
    if (match == searchers_by_id_.end() || match->second->is_leaving() ||
        match->second->entry().incarnation != incarnation)
        return false;
    match->second->on_departure_reported(clock_.now());
    return true;
}

void searcher_registry::on_misdirected(const std::string& id)
{
    remove(id, "address serves another searcher");
}

bool searcher_registry::on_evacuation(
    const std::string& data_centre, bool is_active)
{
    const auto is_changed =
        is_active ? evacuated_data_centres_.insert(data_centre).second
                  : evacuated_data_centres_.erase(data_centre) > 0;
    if (!is_changed)
        return false;
    for (const auto& [id, target] : searchers_by_id_)
    {
        if (target->entry().data_centre == data_centre)
            update_use(target, evacuated_reason);
    }
    return true;
}

bool searcher_registry::is_evacuated(const searcher& target) const
{
    return evacuated_data_centres_.contains(target.entry().data_centre);
}

std::size_t searcher_registry::count_in(std::string_view data_centre) const
{
    return static_cast<std::size_t>(std::count_if(
        searchers_by_id_.begin(), searchers_by_id_.end(),
        [data_centre](const auto& it)
        { return it.second->entry().data_centre == data_centre; }));
}

void searcher_registry::on_timer()
{
    if (clock_.now() < next_wakeup())
        return;
    const auto due_removals = std::move(deferred_removals_);
    deferred_removals_.clear();
    for (const auto& it : due_removals)
        remove(it, "lapsed");
}

time_point searcher_registry::next_wakeup() const
{
    return deferred_removals_.empty() ? time_point::max()
                                      : removal_deferral_end_;
}

std::shared_ptr<searcher> searcher_registry::find(const std::string& id) const
{
    const auto match = searchers_by_id_.find(id);
    return match == searchers_by_id_.end() ? nullptr : match->second;
}

std::span<const std::shared_ptr<searcher>>
searcher_registry::service_searchers(const std::string& service) const
{
    const auto match = searchers_by_service_.find(service);
    if (match == searchers_by_service_.end())
        return {};
    return match->second;
}

std::map<std::string, std::size_t>
searcher_registry::count_by_data_centre() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto& [service, replicas] : searchers_by_service_)
    {
        for (const auto& it : replicas)
            ++counts[it->entry().data_centre];
    }
    return counts;
}

void searcher_registry::for_each(
    const std::function<void(const std::shared_ptr<searcher>&)>& callback) const
{
    for (const auto& [id, target] : searchers_by_id_)
        callback(target);
}

bool searcher_registry::has_departed(
    const std::string& id, std::uint64_t incarnation) const
{
    return departures_.contains({id, incarnation});
}

void searcher_registry::remember_departure(
    const std::string& id, std::uint64_t incarnation)
{
    if (!departures_.emplace(id, incarnation).second)
        return;
    departure_order_.emplace_back(id, incarnation);
    if (departure_order_.size() <= max_remembered_departures)
        return;
    departures_.erase(departure_order_.front());
    departure_order_.pop_front();
}

void searcher_registry::remove(const std::string& id, std::string_view reason)
{
    const auto match = searchers_by_id_.find(id);
    if (match == searchers_by_id_.end())
        return;
    const auto target = match->second;
    searchers_by_id_.erase(match);
    retire(target, reason);
}

void searcher_registry::update_use(
    const std::shared_ptr<searcher>& target, std::string_view reason)
{
    auto& replicas = searchers_by_service_[target->entry().service];
    const auto position = std::find(replicas.begin(), replicas.end(), target);
    const auto is_used = position != replicas.end();
    const auto is_usable = !target->is_leaving() && !is_evacuated(*target);
    if (is_used == is_usable)
        return;
    if (is_usable)
    {
        replicas.push_back(target);
        listener_.searcher_added(target);
        return;
    }
    replicas.erase(position);
    listener_.searcher_leaving(target, reason);
}

void searcher_registry::retire(
    const std::shared_ptr<searcher>& target, std::string_view reason)
{
    target->remove();
    update_use(target, reason);
}

} // namespace turmericlane
