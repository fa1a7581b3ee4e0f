#include "searcher.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Weight of one latency in the smoothed slowness. */
constexpr double slowness_weight = 0.25;
/** A latency counts as at most this multiple of the usual one, so that a single
    outlier does not dominate. */
constexpr double max_slowness_sample = 8.0;
/** The slowness decays towards 1 with this half-life, so that a slow searcher
    is tried again. */
constexpr double slowness_half_life_s = 2.5;
/** An older reported load is ignored. */
constexpr auto load_lifetime = 400ms;
/** A reported work time approaches the usual one with this half-life: it
    changes several times a second. */
constexpr double work_time_half_life_s = 0.5;
/** Bounds of a reported work time, relative to the usual one. */
constexpr double min_work_time = 0.5;
constexpr double max_work_time = 20.0;
/** Cost that full utilisation adds to that of an idle searcher. */
constexpr double utilisation_cost = 0.8;
/** Cost factor of a searcher that has just started. */
constexpr double warm_up_factor = 1.7;
/** Longer than a garbage-collection pause of a searcher. */
constexpr auto overdue_avoidance_time = 160ms;
constexpr double overdue_cost = 20.0;
/** A searcher without an answer for longer than this multiple of the usual
    latency is avoided; a slow request does not explain it. */
constexpr int max_silence_multiple = 4;
/** Ejection time after the first failure; doubles with each further one. */
constexpr auto min_ejection_time = 150ms;
constexpr auto max_ejection_time = 3s;
constexpr std::uint32_t max_doublings = 5;
/** A searcher without an answer for longer is not in a garbage-collection
    pause. */
constexpr auto max_pause = 300ms;
constexpr auto rejection_avoidance_time = 40ms;
constexpr auto turned_away_avoidance_time = 300ms;
/** Quiet times after which one more request may be in flight. */
constexpr int quiet_times_per_growth = 10;
/** A report of a peer counts for this time: most searchers that leave have
   ended by then. */
constexpr auto departure_report_lifetime = 20s;
/** Consecutive incomplete answers that count as a failure of the searcher. */
constexpr std::uint32_t broken_answers_per_failure = 3;
/** Weight of one request in the smoothed failure rate. */
constexpr double failure_weight = 0.2;
/** The failure rate decays with this half-life, so that the searcher is tried
    again. */
constexpr double failure_half_life_s = 4.0;
/** A pooled failure rate decays with this half-life. Reports come several times
    a second while the searcher fails; without any, it is soon tried again. */
constexpr double pooled_failure_half_life_s = 1.0;
/** Cost of a failure rate of 1 relative to a usual request: a retry takes time
    and uses the small budget of extra attempts. */
constexpr double failure_cost = 8.0;

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

searcher::searcher(searcher_entry entry, time_point now)
    : entry_(std::move(entry))
    , slowness_time_(now)
    , failure_rate_time_(now)
    , load_time_(now - load_lifetime)
    , warm_up_end_(now + entry_.warm_up_time)
{
    warm_up_.on_cold_until(warm_up_end_);
}

void searcher::update(searcher_entry entry, time_point now)
{
    if (entry.incarnation != entry_.incarnation ||
        entry.service != entry_.service || entry.address != entry_.address ||
        entry.port != entry_.port)
    {
        failures_ = 0;
        slowness_ = 1.0;
        failure_rate_ = 0.0;
        pooled_failure_rate_ = 0.0;
        avoidance_end_ = {};
        quiet_end_ = {};
        warm_up_.reset();
        window_ = std::numeric_limits<std::uint32_t>::max();
        departure_report_end_ = {};
        is_ejected_ = false;
    }
    entry_ = std::move(entry);
    warm_up_end_ = now + entry_.warm_up_time;
    warm_up_.on_cold_until(warm_up_end_);
    is_removed_ = false;
}

void searcher::on_request_sent(time_point now)
{
    if (in_flight_ == 0)
        wait_start_ = now;
    ++in_flight_;
    ++requests_since_load_;
    warm_up_.on_request_sent(now);
}

void searcher::on_request_ended() noexcept
{
    assert(in_flight_ > 0);
    --in_flight_;
}

void searcher::on_answer(
    duration latency, duration median_latency, time_point now)
{
    failures_ = 0;
    last_answer_time_ = now;
    wait_start_ = now;
    median_latency_ = median_latency;
    record_request(false, now);
    grow_window(now);
    avoidance_end_ = {};
    is_ejected_ = false;
    if (median_latency <= duration::zero())
        return;
    const auto sample = std::min(
        to_seconds(latency) / to_seconds(median_latency) /
            work_time_factor(now),
        max_slowness_sample);
    slowness_ =
        slowness(now) * (1.0 - slowness_weight) + sample * slowness_weight;
    slowness_time_ = now;
}

void searcher::on_overdue(time_point now) noexcept
{
    avoidance_end_ = now + overdue_avoidance_time;
}

void searcher::on_no_answer(time_point sent_time, time_point now) noexcept
{
    if (last_answer_time_ < sent_time && now - sent_time > max_pause)
        on_failure(now);
    else
        on_overdue(now);
}

void searcher::on_failure(time_point now) noexcept
{
    const auto doublings = std::min(failures_, max_doublings);
    const auto ejection_time = min_ejection_time * (1U << doublings);
    next_probe_time_ =
        now + std::min<duration>(ejection_time, max_ejection_time);
    is_ejected_ = true;
    ++failures_;
    record_request(true, now);
}

void searcher::on_broken_answer(time_point now) noexcept
{
    if (failures_ + 1 >= broken_answers_per_failure)
    {
        on_failure(now);
        return;
    }
    ++failures_;
    record_request(true, now);
}

void searcher::on_server_error(time_point now) noexcept
{
    last_answer_time_ = now;
    wait_start_ = now;
    record_request(true, now);
}

void searcher::on_rejected(time_point now) noexcept
{
    last_answer_time_ = now;
    wait_start_ = now;
    avoidance_end_ = std::max(avoidance_end_, now + rejection_avoidance_time);
    record_request(true, now);
}

void searcher::on_turned_away(time_point now) noexcept
{
    avoidance_end_ = std::max(avoidance_end_, now + turned_away_avoidance_time);
}

void searcher::on_quiet_requested(duration quiet_time, time_point now) noexcept
{
    if (!is_quiet_requested(now))
    {
        window_ = std::max(1U, std::min(window_, in_flight_) / 2);
        window_growth_interval_ = quiet_time * quiet_times_per_growth;
        next_window_growth_ = now + window_growth_interval_;
    }
    quiet_end_ = std::max(quiet_end_, now + quiet_time);
}

void searcher::grow_window(time_point now) noexcept
{
    // in_flight_ no longer counts the request that has just been answered.
    if (window_ >= max_in_flight_ || in_flight_ + 1 < window_ ||
        now < next_window_growth_)
        return;
    ++window_;
    next_window_growth_ = now + window_growth_interval_;
}

void searcher::on_departure_reported(time_point now) noexcept
{
    departure_report_end_ = now + departure_report_lifetime;
}

void searcher::on_reachable() noexcept
{
    is_ejected_ = false;
}

void searcher::on_load(const searcher_load& load, time_point now) noexcept
{
    const auto slots = std::max(load.slots, 1U);
    reported_load_ = static_cast<double>(load.running + load.waiting) / slots;
    reported_work_time_ =
        std::clamp(load.work_time_factor, min_work_time, max_work_time);
    load_time_ = now;
    requests_since_load_ = 0;
}

void searcher::record_request(bool has_failed, time_point now) noexcept
{
    const auto sample = has_failed ? failure_weight : 0.0;
    failure_rate_ = own_failure_rate(now) * (1.0 - failure_weight) + sample;
    failure_rate_time_ = now;
}

void searcher::set_pooled_failure_rate(double rate, time_point now) noexcept
{
    assert(rate >= 0.0 && rate <= 1.0);
    pooled_failure_rate_ = rate;
    pooled_failure_rate_time_ = now;
}

double searcher::failure_rate(time_point now) const noexcept
{
    const auto age = to_seconds(now - pooled_failure_rate_time_);
    return std::max(
        own_failure_rate(now),
        pooled_failure_rate_ * std::exp2(-age / pooled_failure_half_life_s));
}

double searcher::own_failure_rate(time_point now) const noexcept
{
    const auto age = to_seconds(now - failure_rate_time_);
    return failure_rate_ * std::exp2(-age / failure_half_life_s);
}

double searcher::slowness(time_point now) const noexcept
{
    const auto age = to_seconds(now - slowness_time_);
    return 1.0 + (slowness_ - 1.0) * std::exp2(-age / slowness_half_life_s);
}

double searcher::utilisation(time_point now) const noexcept
{
    const auto slots = std::max(entry_.slots, 1U);
    const auto own_load = static_cast<double>(in_flight_) / slots;
    if (now - load_time_ > load_lifetime)
        return own_load;
    const auto current_load =
        reported_load_ + static_cast<double>(requests_since_load_) / slots;
    return std::max(own_load, current_load);
}

double searcher::work_time_factor(time_point now) const noexcept
{
    const auto age = to_seconds(now - load_time_);
    return 1.0 + (reported_work_time_ - 1.0) *
                     std::exp2(-age / work_time_half_life_s);
}

double searcher::cost(time_point now) const noexcept
{
    const auto load_ratio = utilisation(now);
    auto total = slowness(now) * work_time_factor(now) *
                 (1.0 + utilisation_cost * load_ratio * load_ratio);
    if (now < warm_up_end_ || warm_up_.is_cold(now))
        total *= warm_up_factor;
    total += failure_cost * failure_rate(now);
    if (is_avoided(now))
        total += overdue_cost;
    return total;
}

double searcher::fault_cost(time_point now) const noexcept
{
    // Latencies grow with the requests that wait for a slot.
    const auto own_slowness = slowness(now) / std::max(1.0, utilisation(now));
    auto total = std::max(1.0, own_slowness) * work_time_factor(now);
    if (is_warming_up(now))
        total *= warm_up_factor;
    total += failure_cost * failure_rate(now);
    if (is_avoided(now))
        total += overdue_cost;
    return total;
}

duration searcher::unanswered_time(time_point now) const noexcept
{
    return in_flight_ == 0 ? duration::zero() : now - wait_start_;
}

bool searcher::is_avoided(time_point now) const noexcept
{
    const auto max_silence = std::max<duration>(
        overdue_avoidance_time, median_latency_ * max_silence_multiple);
    return now < avoidance_end_ || unanswered_time(now) > max_silence;
}

} // namespace turmericlane
