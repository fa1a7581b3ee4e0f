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

/** Age up to which a report counts: heartbeats go to random peers, and most are
    heard of within this time. */
constexpr auto report_lifetime = 15s;
/** The peak of the demand loses half in this time, so that the choice does not
    follow every change of the load. */
constexpr double peak_half_life_s = 20.0;
/** Part of the largest number of searchers in a data centre that makes another
    one near, too. */
constexpr double near_share = 0.5;

/** Instances of one class differ by less than a factor of two. */
int capacity_class(const member& of)
{
    return std::bit_width(of.capacity);
}

std::uint64_t spread(const member& of)
{
    return XXH64(
        of.listen_endpoint.address.data(), of.listen_endpoint.address.size(),
        0);
}

double cores_of(const member& of)
{
    constexpr double thousandths = 1000.0;
    return of.capacity / thousandths;
}

} // namespace

caller_placement::caller_placement(const placement_limits& limits)
    : limits_(limits)
{
}

void caller_placement::on_use(std::uint64_t nonce, double cores, time_point now)
{
    uses_[nonce] = {cores, now};
}

std::vector<member> caller_placement::choose(
    std::vector<member> live,
    const std::map<std::string, std::size_t>& searchers_nearby,
    time_point now)
{
    std::size_t most = 0;
    for (const auto& [data_centre, searchers] : searchers_nearby)
        most = std::max(most, searchers);
    const auto near = [&](const member& of)
    {
        const auto found = searchers_nearby.find(of.data_centre);
        const auto count = found == searchers_nearby.end() ? 0 : found->second;
        return static_cast<double>(count) >=
               near_share * static_cast<double>(most);
    };
    std::sort(
        live.begin(), live.end(),
        [&](const member& a, const member& b)
        {
            if (capacity_class(a) != capacity_class(b))
                return capacity_class(a) > capacity_class(b);
            if (near(a) != near(b))
                return near(a);
            return std::pair(spread(a), a.nonce) <
                   std::pair(spread(b), b.nonce);
        });
    const auto needed = limits_.headroom * demand(live, now);
    double cores = 0.0;
    std::size_t named = 0;
    while (named < live.size() &&
           (named < limits_.least_instances || cores < needed))
        cores += cores_of(live[named++]);
    live.resize(named);
    return live;
}

double caller_placement::demand(std::span<const member> live, time_point now)
{
    std::erase_if(
        uses_,
        [now](const auto& it) { return now - it.second.at > report_lifetime; });
    double heard = 0.0;
    std::size_t reports = 0;
    for (const auto& it : live)
    {
        const auto found = uses_.find(it.nonce);
        if (found == uses_.end())
            continue;
        heard += found->second.cores;
        ++reports;
    }
    // The silent ones are taken to be as busy as the others.
    if (reports > 0)
        heard *=
            static_cast<double>(live.size()) / static_cast<double>(reports);
    const auto age = std::chrono::duration<double>(now - peak_at_).count();
    const auto faded = peak_ * std::exp2(-age / peak_half_life_s);
    peak_ = std::max(heard, faded);
    peak_at_ = now;
    return peak_;
}

} // namespace turmericlane
