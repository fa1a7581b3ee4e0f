#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace turmericlane
{

/** Distribution of durations from 1 microsecond to 100 seconds in buckets of
    equal width on a logarithmic scale, 10 per decade.

    All methods may be called from any thread; record only increments atomic
    counters and never blocks.

    @see metrics_registry
*/
class latency_histogram
{
public:
    /** Cumulative count of the durations up to an upper bound. */
    struct bucket
    {
        /** Upper bound in microseconds; infinity for the last bucket. */
        double upper_bound_us = 0.0;
        /** Number of durations up to that bound, those in the buckets below
            included. */
        std::uint64_t count = 0;
    };

    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    /** Counts a duration, which must not be negative. */
    void record(duration elapsed_time) noexcept;

    /** Returns the cumulative counts in ascending order of their bounds; the
        last one is the total. */
    std::vector<bucket> buckets() const;

    /** Returns the sum of the recorded durations in microseconds. */
    std::uint64_t sum_us() const noexcept;

    /** Returns the upper bound, in microseconds, of the bucket that holds a
        quantile.
        @param fraction  the quantile, 0 to 1
        @returns 0 if nothing was recorded */
    double quantile_us(double fraction) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
