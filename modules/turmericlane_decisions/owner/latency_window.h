#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <vector>

namespace turmericlane
{

/** Statistics of the recent latencies of a group, for the hedge delay and the
    attempt timeout.

    The statistics are recomputed once in 64 samples, which keeps the cost of a
    sample well under a tenth of a microsecond.

    @see dispatch_engine
*/
class latency_window
{
public:
    /** Sets the level of upper_percentile(), 0 to 1. It is clamped to at least
        0.5. */
    void set_percentile(double level);

    /** Adds a latency. */
    void add(duration latency);

    /** Removes all samples. */
    void clear();

    /** True if there are enough samples for the statistics below. Without them
        these are zero. */
    bool has_enough_samples() const;

    /** Returns the percentile at the level set by set_percentile(). */
    duration upper_percentile() const;

    /** Returns the percentile at another level, 0 to 1, over all samples;
        zero if there are none. It is not cached: the call takes some
        microseconds. */
    duration percentile(double level) const;

    /** Returns the median. */
    duration median() const;

    /** Returns the shortest latency. */
    duration fastest() const;

    /** Returns the mean. */
    duration mean() const;

private:
    void recompute();

    double percentile_level_ = 0.98;
    std::vector<duration> samples_;
    std::size_t next_index_ = 0;
    std::size_t samples_until_recompute_ = 0;
    duration upper_percentile_{};
    duration median_{};
    duration fastest_{};
    duration mean_{};
    std::vector<duration> sorted_;
};

} // namespace turmericlane
