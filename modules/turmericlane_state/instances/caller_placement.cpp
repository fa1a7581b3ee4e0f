#include "caller_placement.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include <xxhash.h>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Age up to which a report counts. Reports come with heartbeats to random
    peers, and most instances are heard of within this time. */
constexpr auto report_lifetime = 15s;
/** Time in which the peak of the demand falls by half, so that the choice does
    not follow every change of the load. */
constexpr double peak_half_life_s = 20.0;
/** A data centre counts as near the searchers if it has at least this fraction
    of the largest number of searchers in a data centre. */
constexpr double min_searcher_fraction = 0.5;

/** Returns the class of an instance by its processor capacity; capacities in
    one class differ by less than a factor of two. */
int capacity_class(const member& instance)
{
    return std::bit_width(instance.capacity);
}

std::uint64_t address_hash(const member& instance)
{
    return XXH64(
        instance.listen_endpoint.address.data(),
        instance.listen_endpoint.address.size(), 0);
}

double cores_of(const member& instance)
{
    constexpr double thousandths = 1000.0;
    return instance.capacity / thousandths;
}

} // namespace

caller_placement::caller_placement(const placement_limits& limits)
    : limits_(limits)
{
}

void caller_placement::on_processor_use(
    std::uint64_t nonce, double cores, time_point now)
{
    reported_uses_[nonce] = {cores, now};
}

std::vector<member> caller_placement::choose(
    std::vector<member> live_instances,
    const std::map<std::string, std::size_t>& searchers_by_data_centre,
    time_point now)
{
    std::size_t max_searchers = 0;
    for (const auto& [data_centre, searchers] : searchers_by_data_centre)
        max_searchers = std::max(max_searchers, searchers);
    const auto is_near_searchers = [&](const member& instance)
    {
        const auto match = searchers_by_data_centre.find(instance.data_centre);
        const auto count =
            match == searchers_by_data_centre.end() ? 0 : match->second;
        return static_cast<double>(count) >=
               min_searcher_fraction * static_cast<double>(max_searchers);
    };
    std::sort(
        live_instances.begin(), live_instances.end(),
        [&](const member& a, const member& b)
        {
            if (capacity_class(a) != capacity_class(b))
                return capacity_class(a) > capacity_class(b);
            if (is_near_searchers(a) != is_near_searchers(b))
                return is_near_searchers(a);
            return std::pair(address_hash(a), a.nonce) <
                   std::pair(address_hash(b), b.nonce);
        });
    const auto needed_cores =
        limits_.headroom * update_peak_demand(live_instances, now);
    double chosen_cores = 0.0;
    std::size_t chosen_count = 0;
    while (
        chosen_count < live_instances.size() &&
        (chosen_count < limits_.min_instances || chosen_cores < needed_cores))
        chosen_cores += cores_of(live_instances[chosen_count++]);
    live_instances.resize(chosen_count);
    return live_instances;
}

double caller_placement::update_peak_demand(
    std::span<const member> live_instances, time_point now)
{
    std::erase_if(
        reported_uses_, [now](const auto& it)
        { return now - it.second.reported_at > report_lifetime; });
    double used_cores = 0.0;
    std::size_t report_count = 0;
    for (const auto& it : live_instances)
    {
        const auto match = reported_uses_.find(it.nonce);
        if (match == reported_uses_.end())
            continue;
        used_cores += match->second.cores;
        ++report_count;
    }
    // Instances without a report are taken to be as busy as the others.
    if (report_count > 0)
        used_cores *= static_cast<double>(live_instances.size()) /
                      static_cast<double>(report_count);
    const auto peak_age_s =
        std::chrono::duration<double>(now - peak_time_).count();
    const auto decayed_peak =
        peak_cores_ * std::exp2(-peak_age_s / peak_half_life_s);
    peak_cores_ = std::max(used_cores, decayed_peak);
    peak_time_ = now;
    return peak_cores_;
}

} // namespace turmericlane
