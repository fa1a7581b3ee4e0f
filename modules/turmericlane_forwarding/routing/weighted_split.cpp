#include "weighted_split.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

/** Requests that a split skips at most to reach its phase. */
constexpr int longest_cycle = 100;

} // namespace

weighted_split::weighted_split(
    std::span<const weighted_service> services, double phase)
{
    assert(!services.empty());
    assert(phase >= 0.0 && phase <= 1.0);
    for (const auto& it : services)
    {
        targets_.push_back({it.weight, 0.0});
        total_ += it.weight;
    }
    const auto skipped = static_cast<int>(phase * longest_cycle);
    for (int i = 0; i < skipped; ++i)
        next();
}

std::size_t weighted_split::next()
{
    for (auto& it : targets_)
        it.credit += it.weight;
    const auto chosen = std::max_element(
        targets_.begin(), targets_.end(),
        [](const target& a, const target& b) { return a.credit < b.credit; });
    chosen->credit -= total_;
    return static_cast<std::size_t>(chosen - targets_.begin());
}

} // namespace turmericlane
