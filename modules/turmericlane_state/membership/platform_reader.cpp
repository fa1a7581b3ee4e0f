#include "platform_reader.h"

#include "backoff_delay.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

platform_reader::platform_reader(
    const platform_reader_limits& limits,
    std::uint64_t seed,
    const clock& time_source,
    platform_actions& actions)
    : limits_(limits)
    , random_(seed)
    , clock_(time_source)
    , actions_(actions)
    , tokens_(limits.burst)
    , last_refill_(time_source.now())
{
    assert(limits.reads_per_second > 0.0 && limits.burst >= 1.0);
}

void platform_reader::set_watching(bool is_watching)
{
    is_watching_ = is_watching;
    on_timer();
}

void platform_reader::read_once()
{
    is_read_requested_ = true;
    on_timer();
}

void platform_reader::set_version_in_force(std::uint64_t version)
{
    version_in_force_ = std::max(version_in_force_, version);
}

void platform_reader::on_answer()
{
    if (is_checking_)
        is_older_ = false;
    end_read();
    on_timer();
}

void platform_reader::on_older_version()
{
    is_older_ = true;
    end_read();
    on_timer();
}

void platform_reader::on_refused_bundle()
{
    // Without a version in force nothing else may lead to one.
    is_read_requested_ =
        is_read_requested_ || (is_reading_once_ && version_in_force_ == 0);
    end_read();
    earliest_read_ =
        clock_.now() +
        backoff_delay(limits_.refused_delay, limits_.refused_delay, 1, random_);
}

void platform_reader::on_failure()
{
    assert(is_reading_);
    is_reading_ = false;
    is_checking_ = false;
    is_read_requested_ = is_read_requested_ || is_reading_once_;
    is_reading_once_ = false;
    ++failures_;
    // The service may come back from an older copy.
    next_check_ = clock_.now();
    earliest_read_ = clock_.now() + backoff_delay(
                                        limits_.initial_delay,
                                        limits_.max_delay, failures_, random_);
}

void platform_reader::end_read()
{
    assert(is_reading_);
    const auto now = clock_.now();
    if (is_checking_)
        next_check_ =
            now + (is_older_ ? limits_.max_wait : limits_.check_interval);
    is_reading_ = false;
    is_reading_once_ = false;
    is_checking_ = false;
    failures_ = 0;
    earliest_read_ = time_point::min();
    last_answer_ = now;
}

void platform_reader::on_timer()
{
    const auto now = clock_.now();
    if (is_reading_ || (!is_watching_ && !is_read_requested_) ||
        now < earliest_read_)
        return;
    refill_tokens();
    if (tokens_ < 1.0)
        return;
    tokens_ -= 1.0;
    is_reading_ = true;
    is_reading_once_ = std::exchange(is_read_requested_, false);
    is_checking_ =
        !is_reading_once_ && version_in_force_ != 0 && now >= next_check_;
    const auto is_long_poll = !is_reading_once_ && !is_checking_;
    actions_.read(
        is_checking_ ? version_in_force_ - 1 : version_in_force_,
        is_long_poll ? limits_.max_wait : duration::zero());
}

time_point platform_reader::next_wakeup() const
{
    if (is_reading_ || (!is_watching_ && !is_read_requested_))
        return time_point::max();
    auto missing_s = std::max(0.0, 1.0 - tokens_) / limits_.reads_per_second;
    auto wait = std::chrono::nanoseconds(
        static_cast<std::int64_t>(std::ceil(missing_s * 1e9)));
    return std::max(earliest_read_, last_refill_ + wait);
}

std::optional<duration> platform_reader::time_since_answer() const
{
    if (!last_answer_)
        return std::nullopt;
    return clock_.now() - *last_answer_;
}

void platform_reader::refill_tokens()
{
    auto now = clock_.now();
    std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    tokens_ += elapsed.count() * limits_.reads_per_second;
    // The small term makes up for rounding, so that there is a whole token at
    // the time that next_wakeup returned.
    tokens_ = std::min(limits_.burst, tokens_ + 1e-9);
}

} // namespace turmericlane
