#include "platform_reader.h"

#include "back_off.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

platform_reader::platform_reader(
    const platform_reader_limits& limits,
    std::uint64_t seed,
    const clock& time,
    platform_actions& actions)
    : limits_(limits)
    , random_(seed)
    , clock_(time)
    , actions_(actions)
    , tokens_(limits.burst)
    , refilled_(time.now())
{
    assert(limits.reads_per_second > 0.0 && limits.burst >= 1.0);
}

void platform_reader::set_watching(bool watching)
{
    watching_ = watching;
    on_timer();
}

void platform_reader::read_once()
{
    once_ = true;
    on_timer();
}

void platform_reader::set_in_force(std::uint64_t version)
{
    in_force_ = std::max(in_force_, version);
}

void platform_reader::on_answer()
{
    assert(reading_);
    reading_ = false;
    reading_once_ = false;
    failures_ = 0;
    not_before_ = time_point::min();
    answered_ = clock_.now();
    on_timer();
}

void platform_reader::on_failure()
{
    assert(reading_);
    reading_ = false;
    once_ = once_ || reading_once_;
    reading_once_ = false;
    ++failures_;
    not_before_ = clock_.now() + back_off(
                                     limits_.first_delay, limits_.longest_delay,
                                     failures_, random_);
}

void platform_reader::on_timer()
{
    if (reading_ || (!watching_ && !once_) || clock_.now() < not_before_)
        return;
    refill();
    if (tokens_ < 1.0)
        return;
    tokens_ -= 1.0;
    reading_ = true;
    reading_once_ = std::exchange(once_, false);
    actions_.read(in_force_, reading_once_ ? duration::zero() : limits_.wait);
}

time_point platform_reader::next_wakeup() const
{
    if (reading_ || (!watching_ && !once_))
        return time_point::max();
    auto missing = std::max(0.0, 1.0 - tokens_) / limits_.reads_per_second;
    auto wait = std::chrono::nanoseconds(
        static_cast<std::int64_t>(std::ceil(missing * 1e9)));
    return std::max(not_before_, refilled_ + wait);
}

std::optional<duration> platform_reader::age() const
{
    if (!answered_)
        return std::nullopt;
    return clock_.now() - *answered_;
}

void platform_reader::refill()
{
    auto now = clock_.now();
    std::chrono::duration<double> span = now - refilled_;
    refilled_ = now;
    tokens_ += span.count() * limits_.reads_per_second;
    // The small term makes up for rounding, so that a wake-up at the moment
    // that next_wakeup named finds a whole token.
    tokens_ = std::min(limits_.burst, tokens_ + 1e-9);
}

} // namespace turmericlane
