#include "fastest_times.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

constexpr duration window_length = std::chrono::seconds(5);

} // namespace

void fastest_times::on_answer(
    group_id id, duration response_time, time_point now)
{
    auto& service_windows = windows_[id.service];
    if (service_windows.size() <= id.partition)
        service_windows.resize(std::size_t{id.partition} + 1);
    auto& it = service_windows[id.partition];
    if (now - it.start >= window_length)
    {
        auto is_adjacent = now - it.start < 2 * window_length;
        it.previous_fastest =
            is_adjacent ? it.current_fastest : duration::max();
        it.current_fastest = duration::max();
        it.start = now;
    }
    it.current_fastest = std::min(it.current_fastest, response_time);
}

double fastest_times::reachable_share(
    std::span<const service_map* const> services,
    duration time_left,
    time_point now) const
{
    std::size_t group_count = 0;
    std::size_t slow_count = 0;
    for (const auto* it : services)
    {
        group_count += it->groups.size();
        auto found = windows_.find(it->id);
        if (found == windows_.end())
            continue;
        auto count = std::min(found->second.size(), it->groups.size());
        for (std::size_t n = 0; n < count; ++n)
            if (fastest_time(found->second[n], now) > time_left)
                ++slow_count;
    }
    if (group_count == 0)
        return 0.0;
    return 1.0 -
           static_cast<double>(slow_count) / static_cast<double>(group_count);
}

duration fastest_times::fastest_time(const window& group_window, time_point now)
{
    auto shortest =
        std::min(group_window.current_fastest, group_window.previous_fastest);
    auto is_expired = now - group_window.start >= 2 * window_length;
    return is_expired || shortest == duration::max() ? duration::zero()
                                                     : shortest;
}

} // namespace turmericlane
