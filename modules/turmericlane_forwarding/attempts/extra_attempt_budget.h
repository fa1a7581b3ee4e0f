#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <array>
#include <string>
#include <unordered_map>

namespace turmericlane
{

/** Bound on the repeats that all instances together send to a service. */
struct extra_attempt_limits
{
    /** Repeats for each request, in any window. */
    double ratio = 0.2;
    /** Repeats in any window beyond the ratio, for all instances together. */
    double slack = 50.0;
    /** Length of the windows. */
    duration window = std::chrono::seconds(10);
};

/** Bounds the hedges and retries of this instance, for each service, within a
    sliding window.

    The instances do not count together: each spends from its own requests and
    from an equal part of the slack, so that the sum stays within the limit
    whatever the others do. Hedges leave a reserve for retries.

    Answers the load of many slow or failing searchers, where repeats would add
    to the overload.

    @see forward_engine
*/
class extra_attempt_budget
{
public:
    /** @param time  clock; must outlive the budget */
    extra_attempt_budget(const extra_attempt_limits& limits, const clock& time);

    /** Changes the number of instances that share the slack, at least 1. */
    void set_instances(double instance_count);

    /** A request was sent to a service for the first time. */
    void on_first_attempt(const std::string& service);

    /** Takes a retry from the budget.
        @returns false if none is left */
    bool try_take_retry(const std::string& service);

    /** Takes a hedge from the budget.
        @returns false if none is left */
    bool try_take_hedge(const std::string& service);

private:
    /** Parts of a window that are counted apart. */
    static constexpr std::size_t slice_count = 20;

    struct slice
    {
        /** Number of the slice since the epoch of the clock. */
        std::int64_t index = 0;
        std::uint32_t requests = 0;
        std::uint32_t extra_attempts = 0;
    };

    /** One more than a window has, for the slice that has just begun. */
    using account = std::array<slice, slice_count + 1>;

    slice& current_slice(const std::string& service);
    double remaining_attempts(const std::string& service);
    bool try_take(const std::string& service, double reserve);

    extra_attempt_limits limits_;
    const clock& clock_;
    double own_slack_;
    time_point start_time_;
    std::unordered_map<std::string, account> accounts_;
};

} // namespace turmericlane
