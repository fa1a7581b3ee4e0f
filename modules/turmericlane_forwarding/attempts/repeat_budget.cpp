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
constexpr double slack_use = 0.75;
/** Part of its capacity that an instance starts with, because its former
    process may have spent in the same window. */
constexpr double initial_fill = 0.5;
/** Part of the capacity that hedges leave to retries. */
constexpr double retry_reserve = 0.25;

} // namespace

repeat_budget::repeat_budget(const repeat_limits& limits)
    : limits_(limits)
    , capacity_(limits.slack * slack_use)
{
}

void repeat_budget::set_instances(std::uint32_t instances)
{
    assert(instances > 0);
    // A retry has to be possible at all.
    capacity_ = std::max(1.5, limits_.slack * slack_use / instances);
    for (auto& [service, it] : accounts_)
        it.tokens = std::min(it.tokens, capacity_);
}

void repeat_budget::on_first(const std::string& service)
{
    auto& it = of(service);
    it.tokens = std::min(capacity_, it.tokens + limits_.ratio * ratio_use);
}

bool repeat_budget::try_retry(const std::string& service)
{
    auto& it = of(service);
    if (it.tokens < 1.0)
        return false;
    it.tokens -= 1.0;
    return true;
}

bool repeat_budget::try_hedge(const std::string& service)
{
    auto& it = of(service);
    if (it.tokens < 1.0 + capacity_ * retry_reserve)
        return false;
    it.tokens -= 1.0;
    return true;
}

repeat_budget::account& repeat_budget::of(const std::string& service)
{
    const auto found = accounts_.find(service);
    if (found != accounts_.end())
        return found->second;
    return accounts_.emplace(service, account{capacity_ * initial_fill})
        .first->second;
}

} // namespace turmericlane
