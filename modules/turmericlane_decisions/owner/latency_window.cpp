#include "latency_window.h"

#include <algorithm>
#include <numeric>

namespace turmericlane
{

namespace
{

constexpr std::size_t window_size = 512;
// Fewer samples say nothing about a high percentile.
constexpr std::size_t least_samples = 32;
constexpr std::size_t recompute_interval = 64;

} // namespace

void latency_window::set_percentile(double upper)
{
    percentile_ = std::clamp(upper, 0.5, 1.0);
}

void latency_window::add(duration took)
{
    if (samples_.size() < window_size)
        samples_.push_back(took);
    else
        samples_[next_] = took;
    next_ = (next_ + 1) % window_size;
    if (samples_.size() < least_samples)
        return;
    if (until_recompute_ == 0)
    {
        recompute();
        until_recompute_ = recompute_interval;
    }
    --until_recompute_;
}

void latency_window::clear()
{
    samples_.clear();
    next_ = 0;
    until_recompute_ = 0;
    upper_ = median_ = fastest_ = mean_ = duration::zero();
}

bool latency_window::known() const
{
    return samples_.size() >= least_samples;
}

duration latency_window::upper() const
{
    return upper_;
}

duration latency_window::median() const
{
    return median_;
}

duration latency_window::fastest() const
{
    return fastest_;
}

duration latency_window::mean() const
{
    return mean_;
}

void latency_window::recompute()
{
    sorted_ = samples_;
    auto last = sorted_.size() - 1;
    auto at =
        static_cast<std::ptrdiff_t>(static_cast<double>(last) * percentile_);
    auto middle = static_cast<std::ptrdiff_t>(last / 2);
    auto upper = sorted_.begin() + at;
    std::nth_element(sorted_.begin(), upper, sorted_.end());
    upper_ = *upper;
    if (middle < at)
        std::nth_element(sorted_.begin(), sorted_.begin() + middle, upper);
    median_ = sorted_[static_cast<std::size_t>(middle)];
    fastest_ = *std::min_element(sorted_.begin(), sorted_.begin() + middle + 1);
    auto sum =
        std::accumulate(sorted_.begin(), sorted_.end(), duration::zero());
    mean_ = sum / static_cast<duration::rep>(sorted_.size());
}

} // namespace turmericlane
