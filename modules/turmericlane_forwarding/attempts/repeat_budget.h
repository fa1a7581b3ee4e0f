#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <string>
#include <unordered_map>

namespace turmericlane
{

/** Bound on the repeats that all instances together send to a service. */
struct repeat_limits
{
    /** Repeats for each request, in any window. */
    double ratio = 0.2;
    /** Repeats in any window beyond the ratio, for all instances together. */
    double slack = 50.0;
};

/** Bounds the hedges and retries of this instance, for each service.

    The instances do not count together: each spends from its own requests and
    from an equal part of the slack, so that the sum stays within the limit
    whatever the others do. Hedges leave a reserve for retries.

    Answers the load of many slow or failing searchers, where repeats would add
    to the overload.

*/
class repeat_budget
{
public:
    explicit repeat_budget(const repeat_limits& limits);

    /** Changes the number of instances that share the slack, at least 1. */
    void set_instances(std::uint32_t instances);

    /** A request was sent to a service for the first time. */
    void on_first(const std::string& service);

    /** Takes a token for a retry. */
    bool try_retry(const std::string& service);

    /** Takes a token for a hedge. */
    bool try_hedge(const std::string& service);

private:
    struct account
    {
        double tokens = 0.0;
    };

    account& of(const std::string& service);

    repeat_limits limits_;
    double capacity_;
    std::unordered_map<std::string, account> accounts_;
};

} // namespace turmericlane
