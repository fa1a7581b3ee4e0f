#include "owner_map.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace turmericlane
{

owner_map::owner_map(const bundle& source_bundle)
{
    add_services(source_bundle, nullptr);
}

owner_map::owner_map(const bundle& source_bundle, const owner_map& earlier_map)
{
    add_services(source_bundle, &earlier_map);
}

std::span<const ordinal> owner_map::candidates(group_id id) const
{
    const auto* row = find_row(id.service);
    if (row == nullptr)
        return {};
    auto offset = std::size_t{id.partition} * candidate_count_;
    if (offset >= row->owners.size())
        return {};
    return std::span(row->owners).subspan(offset, candidate_count_);
}

void owner_map::add_services(
    const bundle& source_bundle, const owner_map* earlier_map)
{
    instance_count_ = source_bundle.max_instances;
    candidate_count_ =
        std::min(source_bundle.owner_candidates, source_bundle.max_instances);
    data_centres_ = source_bundle.ordinal_data_centres;
    auto has_same_fleet = earlier_map != nullptr &&
                          earlier_map->instance_count_ == instance_count_ &&
                          earlier_map->candidate_count_ == candidate_count_ &&
                          earlier_map->data_centres_ == data_centres_;
    services_.reserve(source_bundle.services.size());
    for (const auto& it : source_bundle.services)
    {
        service_row row{it.id, it.name, {}, {}};
        row.has_searcher.reserve(it.groups.size());
        for (const auto& group : it.groups)
            row.has_searcher.push_back(locate_searchers(group));
        const auto* earlier_row =
            has_same_fleet ? earlier_map->find_row(it.id) : nullptr;
        if (earlier_row != nullptr && earlier_row->name == it.name &&
            earlier_row->has_searcher == row.has_searcher)
        {
            services_.push_back(*earlier_row);
            continue;
        }
        row.owners.reserve(it.groups.size() * candidate_count_);
        for (std::size_t n = 0; n < it.groups.size(); ++n)
            append_candidates(row, static_cast<std::uint32_t>(n));
        services_.push_back(std::move(row));
    }
    std::sort(
        services_.begin(), services_.end(),
        [](const auto& a, const auto& b) { return a.id < b.id; });
}

std::vector<bool> owner_map::locate_searchers(const group& replicas) const
{
    std::vector<bool> result;
    result.reserve(data_centres_.size());
    for (const auto& name : data_centres_)
        result.push_back(std::any_of(
            replicas.searchers.begin(), replicas.searchers.end(),
            [&](const searcher& it) { return it.data_centre == name; }));
    return result;
}

void owner_map::append_candidates(
    service_row& row, std::uint32_t partition) const
{
    auto key = row.name + '/' + std::to_string(partition);
    auto seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, ordinal>> best_candidates;
    best_candidates.reserve(candidate_count_ + 1);
    const auto& has_searcher = row.has_searcher[partition];
    std::optional<std::pair<std::uint64_t, ordinal>> best_nearby;
    for (ordinal it = 0; it < instance_count_; ++it)
    {
        std::pair<std::uint64_t, ordinal> candidate{
            XXH3_64bits_withSeed(&it, sizeof it, seed), it};
        if (!has_searcher.empty() && has_searcher[it % has_searcher.size()] &&
            (!best_nearby || *best_nearby < candidate))
            best_nearby = candidate;
        if (best_candidates.size() == candidate_count_ &&
            candidate < best_candidates.back())
            continue;
        auto position = std::upper_bound(
            best_candidates.begin(), best_candidates.end(), candidate,
            std::greater<>());
        best_candidates.insert(position, candidate);
        if (best_candidates.size() > candidate_count_)
            best_candidates.pop_back();
    }
    if (best_nearby)
    {
        auto position = std::find(
            best_candidates.begin(), best_candidates.end(), *best_nearby);
        if (position == best_candidates.end())
            *--position = *best_nearby;
        std::rotate(best_candidates.begin(), position, position + 1);
    }
    for (const auto& it : best_candidates)
        row.owners.push_back(it.second);
}

const owner_map::service_row* owner_map::find_row(std::uint32_t id) const
{
    auto found = std::lower_bound(
        services_.begin(), services_.end(), id,
        [](const service_row& row, std::uint32_t value)
        { return row.id < value; });
    if (found == services_.end() || found->id != id)
        return nullptr;
    return &*found;
}

} // namespace turmericlane
