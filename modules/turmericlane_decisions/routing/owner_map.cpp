#include "owner_map.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace turmericlane
{

owner_map::owner_map(const bundle& of)
{
    fill(of, nullptr);
}

owner_map::owner_map(const bundle& of, const owner_map& earlier)
{
    fill(of, &earlier);
}

std::span<const ordinal> owner_map::candidates(group_id id) const
{
    const auto* row = find_row(id.service);
    if (row == nullptr)
        return {};
    auto first = std::size_t{id.partition} * candidate_count_;
    if (first >= row->owners.size())
        return {};
    return std::span(row->owners).subspan(first, candidate_count_);
}

void owner_map::fill(const bundle& of, const owner_map* earlier)
{
    instance_count_ = of.max_instances;
    candidate_count_ = std::min(of.owner_candidates, of.max_instances);
    data_centres_ = of.ordinal_data_centres;
    auto same_fleet = earlier != nullptr &&
                      earlier->instance_count_ == instance_count_ &&
                      earlier->candidate_count_ == candidate_count_ &&
                      earlier->data_centres_ == data_centres_;
    services_.reserve(of.services.size());
    for (const auto& it : of.services)
    {
        service_row row{it.id, it.name, {}, {}};
        row.near.reserve(it.groups.size());
        for (const auto& group : it.groups)
            row.near.push_back(near_data_centres(group));
        const auto* known = same_fleet ? earlier->find_row(it.id) : nullptr;
        if (known != nullptr && known->name == it.name &&
            known->near == row.near)
        {
            services_.push_back(*known);
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

std::vector<bool> owner_map::near_data_centres(const group& of) const
{
    std::vector<bool> made;
    made.reserve(data_centres_.size());
    for (const auto& name : data_centres_)
        made.push_back(std::any_of(
            of.searchers.begin(), of.searchers.end(),
            [&](const searcher& it) { return it.data_centre == name; }));
    return made;
}

void owner_map::append_candidates(
    service_row& row, std::uint32_t partition) const
{
    auto name = row.name + '/' + std::to_string(partition);
    auto seed = XXH3_64bits(name.data(), name.size());
    std::vector<std::pair<std::uint64_t, ordinal>> best;
    best.reserve(candidate_count_ + 1);
    const auto& near = row.near[partition];
    std::optional<std::pair<std::uint64_t, ordinal>> nearest;
    for (ordinal it = 0; it < instance_count_; ++it)
    {
        std::pair<std::uint64_t, ordinal> scored{
            XXH3_64bits_withSeed(&it, sizeof it, seed), it};
        if (!near.empty() && near[it % near.size()] &&
            (!nearest || *nearest < scored))
            nearest = scored;
        if (best.size() == candidate_count_ && scored < best.back())
            continue;
        auto at = std::upper_bound(
            best.begin(), best.end(), scored, std::greater<>());
        best.insert(at, scored);
        if (best.size() > candidate_count_)
            best.pop_back();
    }
    if (nearest)
    {
        auto at = std::find(best.begin(), best.end(), *nearest);
        if (at == best.end())
            *--at = *nearest;
        std::rotate(best.begin(), at, at + 1);
    }
    for (const auto& it : best)
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
