#include "warm_up_share.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include <xxhash.h>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Instances that share a rate. caller_placement names at least this many to
    callers. */
constexpr std::size_t max_holders = 6;
/** Time until a larger share is used: 2 s in which all instances learn of a
    change (87 instances that start together know each other after 2 s), and the
    second in which their former requests count. */
constexpr auto settle_time = 3s;
/** After a longer time without an update the view is stale. */
constexpr auto max_update_interval = 2s;
/** A change of the number of live instances by more than this share is not a
    matter of single instances: all shares are zero until it has settled. */
constexpr double min_resize_share = 0.25;
/** Share of the fleet that an instance must see. Two sides of a partition
    cannot both see that much. */
constexpr double min_visible_share = 2.0 / 3.0;
/** Time for which missing instances count as cut off rather than ended: links
    between regions fail for an hour at times. */
constexpr auto partition_memory = 1h;
/** Bounds the memory; more changes than that within the settling time leave no
    share to this instance. */
constexpr std::size_t max_divisions = 16;

double requests_per_second(const warm_up_limit& value)
{
    return value.max_requests /
           std::chrono::duration<double>(value.window).count();
}

std::uint64_t weight(std::uint64_t instance, std::string_view searcher)
{
    return XXH64(searcher.data(), searcher.size(), instance);
}

} // namespace

std::string_view to_string(warm_up_state value) noexcept
{
    switch (value)
    {
    case warm_up_state::sharing:
        return "sharing";
    case warm_up_state::not_chosen:
        return "not_chosen";
    case warm_up_state::unsettled:
        return "unsettled";
    case warm_up_state::minority:
        return "minority";
    }
    return "unknown";
}

warm_up_share::warm_up_share(std::uint64_t instance)
    : instance_(instance)
    , divisions_{division{}}
{
}

void warm_up_share::on_fleet(const fleet_view& view, time_point now)
{
    const auto is_first = fleet_size_ == 0;
    const auto was_paused =
        !is_first && now - last_update_ > duration(max_update_interval);
    const auto previous_size = static_cast<double>(fleet_size_);
    const auto is_resized =
        std::abs(static_cast<double>(view.live_count) - previous_size) >
        min_resize_share * previous_size;
    if (is_resized)
        fleet_size_ = view.live_count;
    if (was_paused || is_resized)
        replace_division({}, now);
    last_update_ = now;
    live_count_ = view.live_count;
    expected_count_ = view.expected_count;

    division next;
    const auto holder_count =
        std::min(view.preferred_instances.size(), max_holders);
    next.holders.assign(
        view.preferred_instances.begin(),
        view.preferred_instances.begin() +
            static_cast<std::ptrdiff_t>(holder_count));
    next.total_share = total_share(view, now);
    if (!divisions_.back().has_same_shares(next))
        replace_division(std::move(next), now);
    while (divisions_.size() > 1 && divisions_.front().end + settle_time <= now)
        divisions_.pop_front();
}

double warm_up_share::total_share(const fleet_view& view, time_point now)
{
    if (view.live_count >= peak_count_ || now - peak_time_ > partition_memory)
    {
        peak_count_ = view.live_count;
        peak_time_ = now;
    }
    const auto visible_share =
        static_cast<double>(view.live_count) / static_cast<double>(peak_count_);
    return visible_share < min_visible_share ? visible_share : 1.0;
}

void warm_up_share::replace_division(division next, time_point now)
{
    divisions_.back().end = now;
    divisions_.push_back(std::move(next));
    if (divisions_.size() <= max_divisions)
        return;
    // The two oldest are merged into one without holders.
    divisions_.pop_front();
    divisions_.front().holders.clear();
}

bool warm_up_share::is_minority() const noexcept
{
    return static_cast<double>(live_count_) <
           min_visible_share * static_cast<double>(expected_count_);
}

warm_up_limit warm_up_share::limit(
    std::string_view searcher, double rate, time_point now) const
{
    assert(rate > 0.0);
    if (is_minority() || now - last_update_ > max_update_interval)
        return {};
    auto result = limit_of(divisions_.back(), searcher, rate);
    for (const auto& it : divisions_)
    {
        if (it.end + settle_time <= now || it.end == time_point::max())
            continue;
        const auto former = limit_of(it, searcher, rate);
        if (requests_per_second(former) < requests_per_second(result))
            result = former;
    }
    return result;
}

warm_up_state warm_up_share::state(time_point now) const
{
    if (is_minority())
        return warm_up_state::minority;
    const auto is_holder = [this](const division& it)
    {
        return std::find(it.holders.begin(), it.holders.end(), instance_) !=
               it.holders.end();
    };
    if (!is_holder(divisions_.back()))
        return warm_up_state::not_chosen;
    const auto is_settled = std::all_of(
        divisions_.begin(), divisions_.end(),
        [&](const division& it)
        {
            return it.end == time_point::max() || it.end + settle_time <= now ||
                   is_holder(it);
        });
    return is_settled && now - last_update_ <= max_update_interval
               ? warm_up_state::sharing
               : warm_up_state::unsettled;
}

warm_up_limit warm_up_share::limit_of(
    const division& value, std::string_view searcher, double rate) const
{
    const auto& holders = value.holders;
    if (std::find(holders.begin(), holders.end(), instance_) == holders.end())
        return {};
    const auto shared_rate = rate * value.total_share;
    warm_up_limit result;
    // Below one request a second, one holder sends one in a longer time.
    if (shared_rate < 1.0)
        result.window = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1.0 / shared_rate));
    const auto requests =
        static_cast<std::size_t>(std::min(std::max(shared_rate, 1.0), 1e9));
    const auto own_weight = weight(instance_, searcher);
    const auto rank = static_cast<std::size_t>(std::count_if(
        holders.begin(), holders.end(),
        [&](std::uint64_t it) { return weight(it, searcher) > own_weight; }));
    const auto has_remainder = rank < requests % holders.size();
    result.max_requests = static_cast<std::uint32_t>(
        requests / holders.size() + (has_remainder ? 1 : 0));
    return result;
}

} // namespace turmericlane
