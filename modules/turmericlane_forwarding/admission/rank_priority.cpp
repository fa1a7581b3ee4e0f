#include "rank_priority.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** A rank that asked for nothing in this time needs nothing. */
constexpr auto need_lifetime = 2s;
/** Wait at which less urgent requests are refused, relative to the one at which
    the more urgent ones are. */
constexpr double yield_share = 0.5;
/** Requests with fewer sub-requests, relative to those of the more urgent rank,
    do too little for their refusal to help. */
constexpr double min_relative_work = 0.25;

/** Time constant of the sums of requests, in seconds. */
constexpr double memory_seconds = 2.0;
/** Share of the requests of a rank that is admitted in any case, relative to
    that of all. A rank must be served at least a quarter as often as all. */
constexpr double min_admitted_ratio = 0.3;
/** Shortest time until a refused request returns, relative to its target. */
constexpr double min_return_share = 0.5;
/** Fewer recent requests say nothing about how often a rank is admitted. */
constexpr double min_sample = 3.0;

} // namespace

void rank_priority::on_request(const request_terms& terms, time_point now)
{
    decay(now);
    auto& need = needs_[terms.rank];
    need.asked += 1.0;
    const auto is_stale = now - need.time > need_lifetime;
    if (!is_stale && terms.own_max_wait > need.max_wait)
        return;
    need.max_wait = terms.own_max_wait;
    need.sub_requests = terms.sub_requests;
    need.time = now;
}

void rank_priority::on_admitted(std::uint32_t rank, time_point now)
{
    decay(now);
    needs_[rank].admitted += 1.0;
}

duration rank_priority::retry_after(
    std::string_view label, duration wait, duration target)
{
    const auto spread =
        static_cast<double>(XXH3_64bits(label.data(), label.size())) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return wait + std::chrono::duration_cast<duration>(
                      target * (min_return_share + spread));
}

void rank_priority::decay(time_point now)
{
    const std::chrono::duration<double> age = now - decay_time_;
    decay_time_ = now;
    const auto factor = std::exp(-age.count() / memory_seconds);
    for (auto& [rank, need] : needs_)
    {
        need.asked *= factor;
        need.admitted *= factor;
    }
}

bool rank_priority::is_starved(std::uint32_t rank) const
{
    auto asked = 0.0;
    auto admitted = 0.0;
    for (const auto& [other_rank, need] : needs_)
    {
        asked += need.asked;
        admitted += need.admitted;
    }
    const auto match = needs_.find(rank);
    return match != needs_.end() && match->second.asked >= min_sample &&
           match->second.admitted * asked <
               min_admitted_ratio * admitted * match->second.asked;
}

duration
rank_priority::max_wait(const request_terms& terms, time_point now) const
{
    auto result = terms.own_max_wait;
    if (is_starved(terms.rank))
        return result;
    for (const auto& [rank, need] : needs_)
    {
        if (rank >= terms.rank)
            break;
        const auto is_light =
            static_cast<double>(terms.sub_requests) <
            min_relative_work * static_cast<double>(need.sub_requests);
        if (now - need.time > need_lifetime || is_light)
            continue;
        result = std::min(
            result,
            std::chrono::duration_cast<duration>(need.max_wait * yield_share));
    }
    return result;
}

} // namespace turmericlane
