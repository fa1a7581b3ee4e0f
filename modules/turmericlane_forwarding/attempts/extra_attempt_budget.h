#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <array>
#include <string>
#include <unordered_map>

namespace turmericlane
{

/** Limits on the extra attempts, hedges and retries, that all instances
   together send to a service. */
struct extra_attempt_limits
{
    /** Extra attempts for each request, in any window. */
    double ratio = 0.2;
    /** Extra attempts in any window beyond the ratio, for all instances
        together. */
    double slack = 50.0;
    /** Length of the sliding window. */
    duration window = std::chrono::seconds(10);
};

/** Limits the hedges and retries of this instance to each service, within a
    sliding window.

    Extra attempts must not add to the overload when many searchers are slow or
    fail. The instances exchange no counts: each uses the ratio of its own
    requests and its share of the slack, so that their sum stays within the
    limit whatever the others do. Hedges leave a reserve for retries.

    @see forward_engine
*/
class extra_attempt_budget
{
public:
    /** @param time  clock; must outlive the budget */
    extra_attempt_budget(const extra_attempt_limits& limits, const clock& time);

    /** Sets the number of instances that share the slack, at least 1; a
       fraction if their shares differ. */
    void set_instances(double instance_count);

    /** Call when a request or sub-request is first sent to a service. */
    void on_first_attempt(const std::string& service);

    /** Takes a retry from the budget.
        @returns false if the budget is used up */
    bool try_take_retry(const std::string& service);

    /** Takes a hedge from the budget.
        @returns false if only the reserve for retries is left */
    bool try_take_hedge(const std::string& service);

private:
    /** Number of slices of a window, which are counted separately. */
    static constexpr std::size_t slice_count = 20;

    struct slice
    {
        /** Counted from the epoch of the clock. */
        std::int64_t index = 0;
        std::uint32_t requests = 0;
        std::uint32_t extra_attempts = 0;
    };

    /** Holds the slices of one window and the one that has just begun. */
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
