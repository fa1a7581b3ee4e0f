#include "snapshot_view.h"

#include <algorithm>
#include <limits>

namespace turmericlane
{

void snapshot_view::on_range(group_id id, snapshot_range served)
{
    if (served.newest == 0)
        return;
    auto& of_service = ranges_[id.service];
    if (of_service.size() <= id.partition)
        of_service.resize(std::size_t{id.partition} + 1);
    of_service[id.partition] = served;
}

std::uint64_t
snapshot_view::pin(std::span<const service_map* const> services) const
{
    std::uint64_t oldest = 0;
    auto newest = std::numeric_limits<std::uint64_t>::max();
    bool known = false;
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
            known = true;
            oldest = std::max(oldest, range.oldest);
            newest = std::min(newest, range.newest);
        }
    }
    if (!known)
        return 0;
    return std::max(oldest, newest);
}

} // namespace turmericlane
