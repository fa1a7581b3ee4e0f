#include "fastest_times.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

constexpr duration window_length = std::chrono::seconds(5);

} // namespace

void fastest_times::on_answer(group_id id, duration took, time_point now)
{
    auto& of_service = windows_[id.service];
    if (of_service.size() <= id.partition)
        of_service.resize(std::size_t{id.partition} + 1);
    auto& it = of_service[id.partition];
    if (now - it.started >= window_length)
    {
        auto adjacent = now - it.started < 2 * window_length;
        it.previous = adjacent ? it.current : duration::max();
        it.current = duration::max();
        it.started = now;
    }
    it.current = std::min(it.current, took);
}

double fastest_times::reachable(
    std::span<const service_map* const> services,
    duration time_left,
    time_point now) const
{
    std::size_t total = 0;
    std::size_t slower = 0;
    for (const auto* it : services)
    {
        total += it->groups.size();
        auto found = windows_.find(it->id);
        if (found == windows_.end())
            continue;
        auto count = std::min(found->second.size(), it->groups.size());
        for (std::size_t n = 0; n < count; ++n)
            if (fastest(found->second[n], now) > time_left)
                ++slower;
    }
    if (total == 0)
        return 0.0;
    return 1.0 - static_cast<double>(slower) / static_cast<double>(total);
}

duration fastest_times::fastest(const window& of, time_point now)
{
    auto known = std::min(of.current, of.previous);
    auto expired = now - of.started >= 2 * window_length;
    return expired || known == duration::max() ? duration::zero() : known;
}

} // namespace turmericlane
