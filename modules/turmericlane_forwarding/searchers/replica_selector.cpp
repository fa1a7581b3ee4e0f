#include "replica_selector.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Cost of the longer path to another data centre and of its charged traffic,
    relative to a usual request. */
constexpr double remote_cost = 0.8;
/** Random cost that spreads requests over replicas of about equal cost. */
constexpr double max_random_cost = 0.08;
/** Cost of opening a connection, relative to a usual request. */
constexpr double connect_cost = 0.8;
constexpr double ejected_cost = 1000.0;
/** Below the cost of an ejected searcher, which may not answer at all. */
constexpr double departing_cost = 500.0;
/** At a higher cost a searcher is paused, slow or has no free slot. */
constexpr double max_idle_cost = 6.0;
/** A replica in another data centre takes the place of a slow or failing one if
    its cost is lower by at least this. It equals remote_cost, so that a fault
    leads to another data centre as early as it did with that surcharge. */
constexpr double min_fault_difference = remote_cost;
/** A replica with a higher cost apart from its load is slow or fails. The load
    is left to the shares. */
constexpr double max_usual_fault_cost = 2.0;

/** True if the replica may be used for the attempt at all. */
bool is_allowed(
    const std::shared_ptr<searcher>& candidate,
    const replica_selector::attempt_needs& needs)
{
    return !candidate->is_leaving() &&
           std::find(
               needs.tried_searchers.begin(), needs.tried_searchers.end(),
               candidate) == needs.tried_searchers.end();
}

} // namespace

replica_selector::replica_selector(
    std::string data_centre, std::uint64_t seed, data_centre_traffic* traffic)
    : data_centre_(std::move(data_centre))
    , random_(seed)
    , traffic_(traffic)
{
}

replica_selector::selection replica_selector::choose(
    std::span<const std::shared_ptr<searcher>> replicas,
    const attempt_needs& needs,
    time_point now)
{
    // Without measurements of the own data centre the constant decides.
    const auto is_balanced =
        traffic_ != nullptr && !replicas.empty() &&
        traffic_->is_measured(replicas.front()->entry().service);
    return is_balanced ? choose_by_turn(replicas, needs, now)
                       : choose_by_cost(replicas, needs, now);
}

replica_selector::selection replica_selector::choose_by_cost(
    std::span<const std::shared_ptr<searcher>> replicas,
    const attempt_needs& needs,
    time_point now)
{
    selection result;
    double best_cost = 0.0;
    for (const auto& it : replicas)
    {
        if (!is_allowed(it, needs))
            continue;
        if (result.result == outcome::none)
            result.result = outcome::busy;
        if (!it->has_capacity(now))
            continue;
        const auto is_remote = it->entry().data_centre != data_centre_;
        const auto expected_cost =
            cost(*it, is_remote ? remote_cost : 0.0, now);
        if (needs.requires_idle && expected_cost > max_idle_cost)
            continue;
        if (result.target && expected_cost >= best_cost)
            continue;
        result.target = it;
        result.result = outcome::chosen;
        best_cost = expected_cost;
    }
    return result;
}

replica_selector::selection replica_selector::choose_by_turn(
    std::span<const std::shared_ptr<searcher>> replicas,
    const attempt_needs& needs,
    time_point now)
{
    const auto& service = replicas.front()->entry().service;
    const auto is_first = needs.tried_searchers.empty() && !needs.requires_idle;
    const auto& destination = is_first
                                  ? traffic_->next_destination(
                                        service, replicas, needs.time_left, now)
                                  : data_centre_;
    selection result;
    option inside;
    option at_destination;
    option elsewhere;
    const auto keep_better = [](option& best, const auto& target, double cost)
    {
        if (!best.target || cost < best.cost)
            best = {target, cost};
    };
    for (const auto& it : replicas)
    {
        if (!is_allowed(it, needs))
            continue;
        result.result = outcome::busy;
        if (!it->has_capacity(now))
            continue;
        const auto expected_cost = cost(*it, 0.0, now);
        if (needs.requires_idle && expected_cost > max_idle_cost)
            continue;
        const auto& data_centre = it->entry().data_centre;
        if (data_centre == data_centre_)
        {
            keep_better(inside, it, expected_cost);
            continue;
        }
        if (data_centre == destination && !it->is_avoided(now) &&
            state_cost(*it, now) == 0.0)
            keep_better(at_destination, it, expected_cost);
        keep_better(
            elsewhere, it, expected_cost + traffic_->price_cost(service));
    }
    const auto is_inside_faulty =
        inside.target && elsewhere.target &&
        inside.target->fault_cost(now) + state_cost(*inside.target, now) >
            max_usual_fault_cost &&
        inside.cost > elsewhere.cost + min_fault_difference;
    if (at_destination.target)
        result.target = at_destination.target;
    else if (inside.target && !is_inside_faulty)
        result.target = inside.target;
    else
        result.target = elsewhere.target;
    if (!result.target)
        return result;
    result.result = outcome::chosen;
    if (is_first)
        traffic_->on_sent(service, result.target->entry().data_centre);
    return result;
}

double replica_selector::cost(
    const searcher& candidate, double surcharge, time_point now)
{
    auto total = candidate.cost(now) + surcharge;
    if (!candidate.is_preferred())
        total += connect_cost;
    total += state_cost(candidate, now);
    std::uniform_real_distribution<double> jitter(0.0, max_random_cost);
    return total + jitter(random_);
}

double replica_selector::state_cost(const searcher& candidate, time_point now)
{
    auto total = 0.0;
    if (candidate.is_ejected())
        total += ejected_cost;
    if (candidate.is_departure_reported(now))
        total += departing_cost;
    return total;
}

} // namespace turmericlane
