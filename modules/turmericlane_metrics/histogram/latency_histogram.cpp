#include "latency_histogram.h"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cassert>
#include <limits>
#include <tuple>

namespace turmericlane
{

namespace
{

namespace histogram = boost::histogram;

// Ten buckets per decade: the bounds of a bucket are 26 percent apart, so a
// quantile is exact to within 26 percent.
constexpr int decades = 8;
constexpr unsigned bucket_count = 10 * decades;
constexpr double lowest_us = 1.0;
constexpr double highest_us = 1e8;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using atomic_count = histogram::accumulators::thread_safe<std::uint64_t>;
using storage_type = histogram::dense_storage<atomic_count>;
using histogram_type = histogram::histogram<std::tuple<log_axis>, storage_type>;

double to_microseconds(duration elapsed_time)
{
    return std::chrono::duration<double, std::micro>(elapsed_time).count();
}

} // namespace

class latency_histogram::implementation
{
public:
    histogram_type counts_{
        std::make_tuple(log_axis(bucket_count, lowest_us, highest_us)),
        storage_type()};
    std::atomic<std::uint64_t> sum_ns_{0};
};

latency_histogram::latency_histogram()
    : implementation_(std::make_unique<implementation>())
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration elapsed_time) noexcept
{
    assert(elapsed_time >= duration::zero());
    implementation_->counts_(to_microseconds(elapsed_time));
    auto ns = std::chrono::nanoseconds(elapsed_time).count();
    implementation_->sum_ns_.fetch_add(
        static_cast<std::uint64_t>(ns), std::memory_order_relaxed);
}

std::vector<latency_histogram::bucket> latency_histogram::buckets() const
{
    const auto& counts = implementation_->counts_;
    const auto& axis = counts.axis();
    std::vector<bucket> result;
    result.reserve(bucket_count + 2);
    std::uint64_t total = 0;
    // Index -1 is the underflow bucket: durations below the first bound.
    for (int n = -1; n <= static_cast<int>(bucket_count); ++n)
    {
        total += counts.at(n).load(std::memory_order_relaxed);
        bool is_last = n == static_cast<int>(bucket_count);
        auto upper_bound = is_last ? std::numeric_limits<double>::infinity()
                                   : axis.value(n + 1);
        result.push_back({upper_bound, total});
    }
    return result;
}

std::uint64_t latency_histogram::sum_us() const noexcept
{
    return implementation_->sum_ns_.load(std::memory_order_relaxed) / 1000;
}

double latency_histogram::quantile_us(double fraction) const
{
    assert(fraction >= 0.0 && fraction <= 1.0);
    auto cumulative_buckets = buckets();
    auto total = cumulative_buckets.back().count;
    if (total == 0)
        return 0.0;
    auto wanted_count = fraction * static_cast<double>(total);
    for (const auto& it : cumulative_buckets)
        if (it.count > 0 && static_cast<double>(it.count) >= wanted_count)
            return it.upper_bound_us;
    return cumulative_buckets.back().upper_bound_us;
}

} // namespace turmericlane
