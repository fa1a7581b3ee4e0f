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

// Ten buckets to a decade: a quantile is known to within 26 percent.
constexpr int decades = 8;
constexpr unsigned bucket_count = 10 * decades;
constexpr double lowest_us = 1.0;
constexpr double highest_us = 1e8;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using atomic_count = histogram::accumulators::thread_safe<std::uint64_t>;
using storage = histogram::dense_storage<atomic_count>;
using counts = histogram::histogram<std::tuple<log_axis>, storage>;

double microseconds(duration value)
{
    return std::chrono::duration<double, std::micro>(value).count();
}

} // namespace

class latency_histogram::implementation
{
public:
    counts counts_{
        std::make_tuple(log_axis(bucket_count, lowest_us, highest_us)),
        storage()};
    std::atomic<std::uint64_t> sum_ns_{0};
};

latency_histogram::latency_histogram()
    : implementation_(std::make_unique<implementation>())
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration value) noexcept
{
    assert(value >= duration::zero());
    implementation_->counts_(microseconds(value));
    auto ns = std::chrono::nanoseconds(value).count();
    implementation_->sum_ns_.fetch_add(
        static_cast<std::uint64_t>(ns), std::memory_order_relaxed);
}

std::vector<latency_histogram::bucket> latency_histogram::buckets() const
{
    const auto& counts = implementation_->counts_;
    const auto& axis = counts.axis();
    std::vector<bucket> made;
    made.reserve(bucket_count + 2);
    std::uint64_t total = 0;
    // Index -1 holds durations below the first bound.
    for (int n = -1; n <= static_cast<int>(bucket_count); ++n)
    {
        total += counts.at(n).load(std::memory_order_relaxed);
        bool last = n == static_cast<int>(bucket_count);
        auto bound =
            last ? std::numeric_limits<double>::infinity() : axis.value(n + 1);
        made.push_back({bound, total});
    }
    return made;
}

std::uint64_t latency_histogram::sum_us() const noexcept
{
    return implementation_->sum_ns_.load(std::memory_order_relaxed) / 1000;
}

double latency_histogram::quantile_us(double share) const
{
    assert(share >= 0.0 && share <= 1.0);
    auto all = buckets();
    auto total = all.back().count;
    if (total == 0)
        return 0.0;
    auto wanted = share * static_cast<double>(total);
    for (const auto& it : all)
        if (it.count > 0 && static_cast<double>(it.count) >= wanted)
            return it.up_to_us;
    return all.back().up_to_us;
}

} // namespace turmericlane
