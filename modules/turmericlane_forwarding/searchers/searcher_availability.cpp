#include "searcher_availability.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** A replaced searcher publishes its entry within about this time. */
constexpr auto republication_delay = 300ms;
/** Time from opening a connection to an ejected searcher until it can be
    used. */
constexpr auto probe_duration = 60ms;
/** Random addition to the time until searchers want requests again, as a share
    of that time: callers that return together would fill them at once. */
constexpr double return_spread = 0.25;

} // namespace

searcher_availability::searcher_availability(
    const clock& time,
    const searcher_registry& searchers,
    region_map regions,
    std::uint64_t seed)
    : clock_(time)
    , searchers_(searchers)
    , regions_(std::move(regions))
    , random_(seed)
{
}

std::span<const std::shared_ptr<searcher>> searcher_availability::candidates(
    const route& served_route, const std::string& service) const
{
    const auto replicas = searchers_.service_searchers(service);
    if (served_route.home_regions.empty())
        return replicas;
    home_candidates_.clear();
    for (const auto& it : replicas)
    {
        if (regions_.is_home(served_route, it->entry().data_centre))
            home_candidates_.push_back(it);
    }
    return home_candidates_;
}

time_point searcher_availability::usable_time(
    const route& served_route, const std::string& service) const
{
    auto result = time_point::max();
    for (const auto& it : candidates(served_route, service))
    {
        if (!it->is_ejected())
            result = std::min(result, it->quiet_end());
    }
    return result;
}

time_point searcher_availability::next_quiet_end(
    const route& served_route, const std::string& service) const
{
    const auto now = clock_.now();
    auto result = time_point::max();
    for (const auto& it : candidates(served_route, service))
    {
        const auto quiet_end = it->quiet_end();
        if (quiet_end > now)
            result = std::min(result, quiet_end);
    }
    return result;
}

std::size_t searcher_availability::count_usable_shards(
    const route& served_route, time_point latest) const
{
    return static_cast<std::size_t>(std::count_if(
        served_route.shards.begin(), served_route.shards.end(),
        [&](const std::string& it)
        { return usable_time(served_route, it) <= latest; }));
}

time_point searcher_availability::expected_return(
    const route& served_route, const std::string& service) const
{
    const auto now = clock_.now();
    const auto replicas = candidates(served_route, service);
    auto result = time_point::max();
    auto are_all_quiet = !replicas.empty();
    for (const auto& it : replicas)
    {
        const auto reachable_time =
            it->is_ejected() ? it->next_probe_time() + probe_duration : now;
        result = std::min(result, std::max(reachable_time, it->quiet_end()));
        are_all_quiet = are_all_quiet && it->is_quiet(now);
    }
    return are_all_quiet ? result : std::min(result, now + republication_delay);
}

duration searcher_availability::time_until_searcher(
    const route& served_route, const std::string* service)
{
    const auto now = clock_.now();
    auto latest_use = now + probe_duration;
    if (service != nullptr)
        latest_use =
            std::max(latest_use, expected_return(served_route, *service));
    // All shards without a usable searcher must be back.
    for (const auto& it : served_route.shards)
    {
        if (usable_time(served_route, it) > now)
            latest_use =
                std::max(latest_use, expected_return(served_route, it));
    }
    std::uniform_real_distribution<double> addition(0.0, return_spread);
    return std::chrono::duration_cast<duration>(
        (latest_use - now) * (1.0 + addition(random_)));
}

} // namespace turmericlane
