#include "replica_choice.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Cost of the way to another data centre and of its bytes, relative to a usual
    request. */
constexpr double remote_cost = 0.8;
/** Spreads the choice between replicas of about equal cost. */
constexpr double random_cost = 0.08;
/** Cost of opening a connection, relative to a usual request. */
constexpr double unpreferred_cost = 0.8;
constexpr double ejected_cost = 1000.0;
/** Above this cost a searcher is paused, slow or has no free slot. */
constexpr double idle_cost_limit = 6.0;

} // namespace

replica_choice::replica_choice(std::string data_centre, std::uint64_t seed)
    : data_centre_(std::move(data_centre))
    , random_(seed)
{
}

replica_choice::choice replica_choice::choose(
    std::span<const std::shared_ptr<searcher>> replicas,
    const needs& wanted,
    time_point now)
{
    choice made;
    double best = 0.0;
    for (const auto& it : replicas)
    {
        const auto tried =
            std::find(wanted.tried.begin(), wanted.tried.end(), it) !=
            wanted.tried.end();
        if (tried || it->leaving())
            continue;
        if (made.result == outcome::none)
            made.result = outcome::busy;
        if (!it->has_room())
            continue;
        const auto expected = cost(*it, now);
        if (wanted.idle_only && expected > idle_cost_limit)
            continue;
        if (made.target && expected >= best)
            continue;
        made.target = it;
        made.result = outcome::chosen;
        best = expected;
    }
    return made;
}

double replica_choice::cost(const searcher& of, time_point now)
{
    auto made = of.cost(now);
    if (of.entry().data_centre != data_centre_)
        made += remote_cost;
    if (!of.preferred())
        made += unpreferred_cost;
    if (of.ejected())
        made += ejected_cost;
    std::uniform_real_distribution<double> spread(0.0, random_cost);
    return made + spread(random_);
}

} // namespace turmericlane
