#include "connection_share.h"

#include <algorithm>
#include <cassert>
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

/** Replicas that are used at least, so that a hedge has somewhere to go. */
constexpr std::size_t min_replicas = 2;

std::uint64_t weight(const searcher& of, std::string_view instance)
{
    const auto& id = of.entry().id;
    const auto seed = XXH64(instance.data(), instance.size(), 0);
    return XXH64(id.data(), id.size(), seed);
}

} // namespace

connection_share share_connections(
    std::uint32_t limit, std::uint32_t instances, std::size_t replicas)
{
    assert(instances > 0);
    const auto all = instances + unknown_instances;
    connection_share made;
    made.window = std::clamp(limit / all, 1U, max_window);
    made.replicas = replicas;
    if (limit < all)
        made.replicas = std::max(min_replicas, limit * replicas / all);
    made.replicas = std::min(made.replicas, replicas);
    return made;
}

void plan_connections(
    std::span<const std::shared_ptr<searcher>> replicas,
    const connection_share& share,
    std::string_view instance)
{
    std::vector<searcher*> order;
    for (const auto& it : replicas)
        order.push_back(it.get());
    if (share.replicas < order.size())
        std::sort(
            order.begin(), order.end(),
            [instance](const searcher* a, const searcher* b)
            { return weight(*a, instance) > weight(*b, instance); });
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i]->set_window(share.window);
        order[i]->set_preferred(i < share.replicas);
    }
}

} // namespace turmericlane
