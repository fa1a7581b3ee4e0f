#include "extra_attempt_budget.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

/** Share of the ratio that is used; the rest covers requests that reach the
    searchers in a later window than the one that counted them. */
constexpr double spendable_ratio = 0.9;
/** Share of the slack that is used; the rest covers instances that are not
    known yet. */
constexpr double spendable_slack = 0.8;
/** Share of its slack that an instance may use in its first window, because its
    previous process may have used some in the same window. */
constexpr double first_window_share = 0.5;
/** Share of an instance's slack that is reserved for retries. */
constexpr double retry_reserve = 0.15;

} // namespace

extra_attempt_budget::extra_attempt_budget(
    const extra_attempt_limits& limits, const clock& time)
    : limits_(limits)
    , clock_(time)
    , own_slack_(limits.slack * spendable_slack)
    , start_time_(time.now())
{
    assert(limits.window > duration::zero());
}

void extra_attempt_budget::set_instances(double instance_count)
{
    assert(instance_count > 0.0);
    own_slack_ = limits_.slack * spendable_slack / instance_count;
}

void extra_attempt_budget::on_first_attempt(const std::string& service)
{
    ++current_slice(service).requests;
}

bool extra_attempt_budget::try_take_retry(const std::string& service)
{
    return try_take(service, 0.0);
}

bool extra_attempt_budget::try_take_hedge(const std::string& service)
{
    return try_take(service, own_slack_ * retry_reserve);
}

bool extra_attempt_budget::try_take(const std::string& service, double reserve)
{
    if (remaining_attempts(service) < 1.0 + reserve)
        return false;
    ++current_slice(service).extra_attempts;
    return true;
}

double extra_attempt_budget::remaining_attempts(const std::string& service)
{
    const auto& newest = current_slice(service);
    double requests = 0.0;
    double extra_attempts = 0.0;
    for (const auto& it : accounts_[service])
    {
        if (newest.index - it.index > static_cast<std::int64_t>(slice_count))
            continue;
        requests += it.requests;
        extra_attempts += it.extra_attempts;
    }
    auto slack = own_slack_;
    if (clock_.now() - start_time_ < limits_.window)
        slack *= first_window_share;
    return limits_.ratio * spendable_ratio * requests + slack - extra_attempts;
}

extra_attempt_budget::slice&
extra_attempt_budget::current_slice(const std::string& service)
{
    const auto index = clock_.now().time_since_epoch() /
                       (limits_.window / static_cast<int>(slice_count));
    auto& entry =
        accounts_[service][static_cast<std::size_t>(index) % (slice_count + 1)];
    if (entry.index != index)
        entry = {index, 0, 0};
    return entry;
}

} // namespace turmericlane
