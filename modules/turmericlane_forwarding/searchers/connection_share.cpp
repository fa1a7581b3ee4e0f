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

/** Allowance for instances that run but are not known yet: while some join or
    restart, the instances' views of each other differ. */
constexpr std::uint32_t undiscovered_instances = 1;

/** More connections to one searcher do not shorten the wait for a slot. */
constexpr std::uint32_t max_useful_connections = 8;

/** Share of the limit that idle connections may use. */
constexpr double idle_share = 0.5;

constexpr std::uint64_t draw_range = 1'000'003;

std::uint64_t
rendezvous_weight(const searcher& candidate, std::string_view instance)
{
    const auto& id = candidate.entry().id;
    const auto seed = XXH64(instance.data(), instance.size(), 0);
    return XXH64(id.data(), id.size(), seed);
}

} // namespace

connection_share share_connections(
    std::uint32_t limit, const fleet_division& fleet, std::size_t replica_count)
{
    assert(fleet.named_instances > 0);
    connection_share share;
    share.mean_replicas = static_cast<double>(replica_count);
    if (!fleet.is_self_named)
    {
        share.max_idle = 0;
        return share;
    }
    const auto sharing_instances =
        fleet.named_instances + undiscovered_instances;
    const auto own_connections =
        limit * (1.0 - unnamed_share(fleet)) / sharing_instances;
    share.max_in_flight = std::clamp(
        static_cast<std::uint32_t>(own_connections), 1U,
        max_useful_connections);
    const auto idle_connections = idle_share * own_connections;
    share.max_idle = std::clamp(
        static_cast<std::uint32_t>(idle_connections), 1U, share.max_in_flight);
    if (idle_connections < 1.0)
        share.mean_replicas *= idle_connections;
    share.mean_replicas = std::max(1.0, share.mean_replicas);
    return share;
}

void plan_connections(
    std::span<const std::shared_ptr<searcher>> replicas,
    const connection_share& share,
    const connection_owner& owner)
{
    std::vector<searcher*> ordered_replicas;
    for (const auto& it : replicas)
        ordered_replicas.push_back(it.get());
    auto used_count = ordered_replicas.size();
    if (share.mean_replicas < static_cast<double>(ordered_replicas.size()))
    {
        std::sort(
            ordered_replicas.begin(), ordered_replicas.end(),
            [&owner](const searcher* left, const searcher* right)
            {
                const auto is_left_near =
                    left->entry().data_centre == owner.data_centre;
                const auto is_right_near =
                    right->entry().data_centre == owner.data_centre;
                if (is_left_near != is_right_near)
                    return is_left_near;
                return rendezvous_weight(*left, owner.name) >
                       rendezvous_weight(*right, owner.name);
            });
        const auto whole_replicas = std::floor(share.mean_replicas);
        // The hash of the first replica serves as a random number.
        const auto draw =
            static_cast<double>(
                rendezvous_weight(*ordered_replicas.front(), owner.name) %
                draw_range) /
            draw_range;
        used_count = static_cast<std::size_t>(whole_replicas);
        used_count += draw < share.mean_replicas - whole_replicas ? 1 : 0;
    }
    for (std::size_t i = 0; i < ordered_replicas.size(); ++i)
    {
        ordered_replicas[i]->set_max_in_flight(share.max_in_flight);
        ordered_replicas[i]->set_max_idle_connections(
            i < used_count ? share.max_idle : 0);
    }
}

} // namespace turmericlane
