#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <vector>

namespace turmericlane
{

/** Recent latencies of one group: percentiles for the hedge delay and the
    attempt time-out.

    Percentiles are recomputed once in 64 samples, which keeps the cost of a
    sample well under a tenth of a microsecond.

    @see dispatch_engine
*/
class latency_window
{
public:
    /** Sets the percentile that upper() returns, 0 to 1. */
    void set_percentile(double upper);

    /** Adds a latency. */
    void add(duration took);

    /** Forgets all samples. */
    void clear();

    /** True if there are enough samples for the other methods. */
    bool known() const;

    /** The chosen upper percentile. */
    duration upper() const;

    /** The median. */
    duration median() const;

    /** The fastest; zero if not known. */
    duration fastest() const;

    /** The mean; zero if not known. */
    duration mean() const;

private:
    void recompute();

    double percentile_ = 0.98;
    std::vector<duration> samples_;
    std::size_t next_ = 0;
    std::size_t until_recompute_ = 0;
    duration upper_{};
    duration median_{};
    duration fastest_{};
    duration mean_{};
    std::vector<duration> sorted_;
};

} // namespace turmericlane
