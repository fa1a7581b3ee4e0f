#include "snapshot_ranges.h"

#include <algorithm>
#include <limits>

namespace turmericlane
{

void snapshot_ranges::on_range(group_id id, snapshot_range range)
{
    if (range.newest == 0)
        return;
    auto& service_ranges = ranges_[id.service];
    if (service_ranges.size() <= id.partition)
        service_ranges.resize(std::size_t{id.partition} + 1);
    service_ranges[id.partition] = range;
}

std::uint64_t snapshot_ranges::choose_snapshot(
    std::span<const service_map* const> services) const
{
    std::uint64_t oldest = 0;
    auto newest = std::numeric_limits<std::uint64_t>::max();
    bool has_known_range = false;
    for (const auto* it : services)
    {
        auto found = ranges_.find(it->id);
        if (found == ranges_.end())
            continue;
        auto count = std::min(found->second.size(), it->groups.size());
        for (std::size_t n = 0; n < count; ++n)
        {
            const auto& range = found->second[n];
            if (range.newest == 0)
                continue;
            has_known_range = true;
            oldest = std::max(oldest, range.oldest);
            newest = std::min(newest, range.newest);
        }
    }
    if (!has_known_range)
        return 0;
    return std::max(oldest, newest);
}

} // namespace turmericlane
