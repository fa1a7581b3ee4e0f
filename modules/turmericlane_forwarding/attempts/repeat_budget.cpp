#include "repeat_budget.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

/** Part of the ratio that is spent; the rest covers requests that reach the
    searchers in another window than they were counted in. */
constexpr double ratio_use = 0.9;
/** Part of the slack that is spent; the rest covers instances that are not
    known yet. */
constexpr double slack_use = 0.8;
/** Part of the slack that an instance has in its first window, because its
    former process may have spent in the same one. */
constexpr double initial_share = 0.5;
/** Part of its slack that hedges leave to retries. */
constexpr double retry_reserve = 0.15;

} // namespace

repeat_budget::repeat_budget(const repeat_limits& limits, const clock& time)
    : limits_(limits)
    , clock_(time)
    , slack_(limits.slack * slack_use)
    , started_(time.now())
{
    assert(limits.window > duration::zero());
}

void repeat_budget::set_instances(double instances)
{
    assert(instances > 0.0);
    slack_ = limits_.slack * slack_use / instances;
}

void repeat_budget::on_first(const std::string& service)
{
    ++current(service).requests;
}

bool repeat_budget::try_retry(const std::string& service)
{
    return try_take(service, 0.0);
}

bool repeat_budget::try_hedge(const std::string& service)
{
    return try_take(service, slack_ * retry_reserve);
}

bool repeat_budget::try_take(const std::string& service, double reserve)
{
    if (left(service) < 1.0 + reserve)
        return false;
    ++current(service).repeats;
    return true;
}

double repeat_budget::left(const std::string& service)
{
    const auto& newest = current(service);
    double requests = 0.0;
    double repeats = 0.0;
    for (const auto& it : accounts_[service])
    {
        if (newest.number - it.number > static_cast<std::int64_t>(slices))
            continue;
        requests += it.requests;
        repeats += it.repeats;
    }
    auto slack = slack_;
    if (clock_.now() - started_ < limits_.window)
        slack *= initial_share;
    return limits_.ratio * ratio_use * requests + slack - repeats;
}

repeat_budget::slice& repeat_budget::current(const std::string& service)
{
    const auto number = clock_.now().time_since_epoch() /
                        (limits_.window / static_cast<int>(slices));
    auto& which =
        accounts_[service][static_cast<std::size_t>(number) % (slices + 1)];
    if (which.number != number)
        which = {number, 0, 0};
    return which;
}

} // namespace turmericlane
