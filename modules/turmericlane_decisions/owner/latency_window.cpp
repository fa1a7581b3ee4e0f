#include "latency_window.h"

#include <algorithm>
#include <numeric>

namespace turmericlane
{

namespace
{

constexpr std::size_t window_size = 512;
// With fewer samples a high percentile has no meaning.
constexpr std::size_t min_samples = 32;
constexpr std::size_t recompute_interval = 64;

} // namespace

void latency_window::set_percentile(double level)
{
    percentile_level_ = std::clamp(level, 0.5, 1.0);
}

void latency_window::add(duration latency)
{
    if (samples_.size() < window_size)
        samples_.push_back(latency);
    else
        samples_[next_index_] = latency;
    next_index_ = (next_index_ + 1) % window_size;
    if (samples_.size() < min_samples)
        return;
    if (samples_until_recompute_ == 0)
    {
        recompute();
        samples_until_recompute_ = recompute_interval;
    }
    --samples_until_recompute_;
}

void latency_window::clear()
{
    samples_.clear();
    next_index_ = 0;
    samples_until_recompute_ = 0;
    upper_percentile_ = median_ = fastest_ = mean_ = duration::zero();
}

bool latency_window::has_enough_samples() const
{
    return samples_.size() >= min_samples;
}

duration latency_window::upper_percentile() const
{
    return upper_percentile_;
}

duration latency_window::percentile(double level) const
{
    if (samples_.empty())
        return duration::zero();
    auto samples = samples_;
    const auto index = static_cast<std::ptrdiff_t>(
        static_cast<double>(samples.size() - 1) * std::clamp(level, 0.0, 1.0));
    const auto position = samples.begin() + index;
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
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
    auto last_index = sorted_.size() - 1;
    auto upper_index = static_cast<std::ptrdiff_t>(
        static_cast<double>(last_index) * percentile_level_);
    auto median_index = static_cast<std::ptrdiff_t>(last_index / 2);
    auto upper_position = sorted_.begin() + upper_index;
    std::nth_element(sorted_.begin(), upper_position, sorted_.end());
    upper_percentile_ = *upper_position;
    if (median_index < upper_index)
        std::nth_element(
            sorted_.begin(), sorted_.begin() + median_index, upper_position);
    median_ = sorted_[static_cast<std::size_t>(median_index)];
    fastest_ =
        *std::min_element(sorted_.begin(), sorted_.begin() + median_index + 1);
    auto sum =
        std::accumulate(sorted_.begin(), sorted_.end(), duration::zero());
    mean_ = sum / static_cast<duration::rep>(sorted_.size());
}

} // namespace turmericlane
