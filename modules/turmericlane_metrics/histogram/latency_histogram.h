#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace turmericlane
{

/** Distribution of durations from 1 microsecond to 100 seconds in buckets of
    equal width on a logarithmic scale, 10 to a decade.

    Any thread may call; recording increments atomic counts and never waits.

    @see metrics_registry
*/
class latency_histogram
{
public:
    /** Number of durations up to an upper bound. */
    struct bucket
    {
        /** Upper bound in microseconds; infinity for the last one. */
        double up_to_us = 0.0;
        /** Durations up to that bound, smaller buckets included. */
        std::uint64_t count = 0;
    };

    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    /** Counts a duration; it must not be negative. */
    void record(duration value) noexcept;

    /** Cumulative counts in ascending order; the last one is the total. */
    std::vector<bucket> buckets() const;

    /** Sum of the recorded durations in microseconds. */
    std::uint64_t sum_us() const noexcept;

    /** Upper bound of the bucket that holds a quantile, in microseconds.
        @param share  0 to 1
        @returns 0 if nothing was recorded */
    double quantile_us(double share) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
