#include "weighted_split.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

/** Number of selections that a split skips for a phase of 1. */
constexpr int max_skipped_requests = 100;

} // namespace

weighted_split::weighted_split(
    std::span<const weighted_service> services, double phase)
{
    assert(!services.empty());
    assert(phase >= 0.0 && phase <= 1.0);
    for (const auto& it : services)
    {
        services_.push_back({it.weight, 0.0});
        total_weight_ += it.weight;
    }
    const auto skip_count = static_cast<int>(phase * max_skipped_requests);
    for (int i = 0; i < skip_count; ++i)
        select_next();
}

std::size_t weighted_split::select_next()
{
    for (auto& it : services_)
        it.credit += it.weight;
    const auto selected_service = std::max_element(
        services_.begin(), services_.end(),
        [](const service_credit& a, const service_credit& b)
        { return a.credit < b.credit; });
    selected_service->credit -= total_weight_;
    return static_cast<std::size_t>(selected_service - services_.begin());
}

} // namespace turmericlane
