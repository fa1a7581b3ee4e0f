#include "connection_share.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

#include <xxhash.h>

namespace turmericlane
{

namespace
{

/** Instances that may run without being known yet: some join or restart while
    the views differ. */
constexpr std::uint32_t unknown_instances = 1;

/** More connections than this do not shorten the wait for a slot. */
constexpr std::uint32_t max_window = 8;

/** Part of the limit that idle connections use. */
constexpr double kept_part = 0.5;

constexpr std::uint64_t draws = 1'000'003;

std::uint64_t weight(const searcher& of, std::string_view instance)
{
    const auto& id = of.entry().id;
    const auto seed = XXH64(instance.data(), instance.size(), 0);
    return XXH64(id.data(), id.size(), seed);
}

} // namespace

connection_share share_connections(
    std::uint32_t limit, const fleet_division& fleet, std::size_t replicas)
{
    assert(fleet.named > 0);
    connection_share made;
    made.replicas = static_cast<double>(replicas);
    if (!fleet.self_named)
    {
        made.kept = 0;
        return made;
    }
    const auto sharing = fleet.named + unknown_instances;
    const auto own = limit * (1.0 - unnamed_part(fleet)) / sharing;
    made.window = std::clamp(static_cast<std::uint32_t>(own), 1U, max_window);
    const auto kept = kept_part * own;
    made.kept = std::clamp(static_cast<std::uint32_t>(kept), 1U, made.window);
    if (kept < 1.0)
        made.replicas *= kept;
    made.replicas = std::max(1.0, made.replicas);
    return made;
}

void plan_connections(
    std::span<const std::shared_ptr<searcher>> replicas,
    const connection_share& share,
    const connection_owner& owner)
{
    std::vector<searcher*> order;
    for (const auto& it : replicas)
        order.push_back(it.get());
    auto used = order.size();
    if (share.replicas < static_cast<double>(order.size()))
    {
        std::sort(
            order.begin(), order.end(),
            [&owner](const searcher* a, const searcher* b)
            {
                const auto a_near = a->entry().data_centre == owner.data_centre;
                const auto b_near = b->entry().data_centre == owner.data_centre;
                if (a_near != b_near)
                    return a_near;
                return weight(*a, owner.name) > weight(*b, owner.name);
            });
        const auto whole = std::floor(share.replicas);
        // The weight of the best replica is as good as a random number.
        const auto drawn =
            static_cast<double>(weight(*order.front(), owner.name) % draws) /
            draws;
        used = static_cast<std::size_t>(whole);
        used += drawn < share.replicas - whole ? 1 : 0;
    }
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i]->set_window(share.window);
        order[i]->set_kept(i < used ? share.kept : 0);
    }
}

} // namespace turmericlane
