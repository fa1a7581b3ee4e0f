#include "backend_server.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

constexpr int latency_smoothing_samples = 10;
// A sample counts as at most this multiple of the smoothed latency, so that one
// reply that is 20 times slower doesn't make the server look slow.
constexpr int max_sample_ratio = 3;
constexpr std::uint32_t failures_to_restrict = 3;
constexpr duration slow_start_time = 2s;
constexpr duration first_ejection_time = 1s;
constexpr std::uint32_t max_ejection_doublings = 5;
constexpr duration probe_interval = 100ms;
constexpr std::uint32_t good_probes_to_return = 3;
// After this time in use the next ejection is as short as the first one.
constexpr duration ejection_reset_time = 60s;
constexpr duration load_report_lifetime = 10s;
// After this time an attempt shows whether the server serves other snapshots.
constexpr duration snapshot_range_lifetime = 10s;
// The list of searchers lags, so a drain reply overrules it for this time.
constexpr duration drain_reply_lifetime = 10s;

} // namespace

backend_server::backend_server(searcher_id id)
    : id_(id)
{
}

void backend_server::set_limits(
    std::uint32_t slots, std::uint32_t max_in_flight)
{
    assert(slots > 0 && max_in_flight > 0);
    slots_ = slots;
    max_in_flight_ = max_in_flight;
}

void backend_server::on_attempt_start(time_point now)
{
    last_attempt_time_ = now;
    ++attempts_in_flight_;
    ++attempts_since_report_;
}

void backend_server::on_attempt_end()
{
    assert(attempts_in_flight_ > 0);
    --attempts_in_flight_;
}

void backend_server::on_latency(duration sample)
{
    if (sample_count_ == 0)
        latency_ = sample;
    auto bounded_sample = std::min(sample, max_sample_ratio * latency_);
    ++sample_count_;
    auto weight = std::min<int>(
        static_cast<int>(sample_count_), latency_smoothing_samples);
    latency_ += (bounded_sample - latency_) / weight;
}

duration backend_server::update_slow_time(bool is_slow, time_point now)
{
    first_slow_time_ =
        is_slow ? std::min(first_slow_time_, now) : time_point::max();
    return is_slow ? now - first_slow_time_ : duration::zero();
}

void backend_server::on_failure(time_point now)
{
    if (consecutive_failures_ == 0)
        first_failure_time_ = now;
    ++consecutive_failures_;
}

void backend_server::on_success()
{
    consecutive_failures_ = 0;
}

void backend_server::on_overload_reply(time_point now)
{
    reported_load_ = 1.0;
    report_time_ = now;
    begin_slow_start(now);
}

void backend_server::on_drain_reply(time_point now)
{
    has_drain_reply_ = true;
    drain_reply_time_ = now;
}

void backend_server::on_listed_leaving(bool is_listed_leaving, time_point now)
{
    auto was_leaving = is_listed_leaving_ || has_drain_reply_;
    is_listed_leaving_ = is_listed_leaving;
    if (is_listed_leaving)
        return;
    if (has_drain_reply_ && now - drain_reply_time_ < drain_reply_lifetime)
        return;
    has_drain_reply_ = false;
    if (was_leaving)
        begin_slow_start(now);
}

void backend_server::on_bundle(time_point leave_time, time_point now)
{
    if (now >= bundle_leave_time_ && leave_time == time_point::max())
        begin_slow_start(now);
    bundle_leave_time_ = leave_time;
}

void backend_server::on_load_report(const load_report& report, time_point now)
{
    reported_load_ = report.load;
    report_time_ = now;
    attempts_since_report_ = 0;
    on_snapshot_range(report.served_snapshots, now);
    if (report.is_draining)
        return on_drain_reply(now);
    if (!has_drain_reply_ || now - drain_reply_time_ < drain_reply_lifetime)
        return;
    has_drain_reply_ = false;
    begin_slow_start(now);
}

void backend_server::on_snapshot_range(snapshot_range range, time_point now)
{
    if (range.newest == 0)
        return;
    snapshots_ = range;
    snapshots_time_ = now;
}

void backend_server::reset_measurements()
{
    reported_load_ = 0.0;
    report_time_ = {};
    attempts_since_report_ = 0;
    consecutive_failures_ = 0;
    sample_count_ = 0;
    latency_ = {};
    is_ejected_ = false;
    is_probing_ = false;
    good_probes_ = 0;
}

void backend_server::eject(time_point now)
{
    if (now - return_time_ > ejection_reset_time)
        ejections_ = 0;
    auto doublings = std::min(ejections_, max_ejection_doublings);
    ++ejections_;
    is_ejected_ = true;
    first_slow_time_ = time_point::max();
    is_probing_ = false;
    good_probes_ = 0;
    next_probe_time_ = now + first_ejection_time * (1U << doublings);
    // The time out of use doesn't count towards ejection_reset_time, so
    // repeated ejections get longer.
    return_time_ = next_probe_time_;
}

bool backend_server::on_probe(bool is_good, time_point now)
{
    if (!is_ejected_)
        return false;
    is_probing_ = false;
    if (!is_good)
    {
        eject(now);
        return false;
    }
    next_probe_time_ = now + probe_interval;
    if (++good_probes_ < good_probes_to_return)
        return false;
    is_ejected_ = false;
    good_probes_ = 0;
    consecutive_failures_ = 0;
    sample_count_ = 0;
    latency_ = {};
    return_time_ = now;
    begin_slow_start(now);
    return true;
}

void backend_server::on_probe_cancelled(time_point now)
{
    is_probing_ = false;
    next_probe_time_ = std::max(next_probe_time_, now + probe_interval);
}

void backend_server::begin_slow_start(time_point now)
{
    slow_start_end_ = now + slow_start_time;
}

bool backend_server::is_leaving(time_point now) const
{
    return is_listed_leaving_ || has_drain_reply_ || now >= bundle_leave_time_;
}

bool backend_server::has_room(time_point now) const
{
    auto limit = max_in_flight_;
    if (consecutive_failures_ >= failures_to_restrict)
        limit = 1;
    else if (now < slow_start_end_)
    {
        auto remaining_share =
            std::chrono::duration<double>(slow_start_end_ - now) /
            std::chrono::duration<double>(slow_start_time);
        auto current_limit =
            (1.0 - remaining_share) * static_cast<double>(max_in_flight_);
        limit = std::max(1U, static_cast<std::uint32_t>(current_limit));
    }
    return attempts_in_flight_ < limit;
}

double backend_server::cost(duration fallback_latency) const
{
    auto base_latency = sample_count_ == 0 ? fallback_latency : latency_;
    auto utilisation =
        static_cast<double>(attempts_in_flight_) / static_cast<double>(slots_);
    return static_cast<double>(base_latency.count()) * (1.0 + utilisation) *
           (1.0 + static_cast<double>(consecutive_failures_));
}

double backend_server::load(time_point now) const
{
    if (now - report_time_ >= load_report_lifetime)
        return 0.0;
    return reported_load_ + static_cast<double>(attempts_since_report_) /
                                static_cast<double>(slots_);
}

bool backend_server::may_serve(std::uint64_t snapshot, time_point now) const
{
    if (snapshot == 0 || snapshots_.newest == 0 || has_snapshot(snapshot))
        return true;
    return now - snapshots_time_ >= snapshot_range_lifetime;
}

bool backend_server::has_snapshot(std::uint64_t snapshot) const noexcept
{
    return snapshot >= snapshots_.oldest && snapshot <= snapshots_.newest;
}

} // namespace turmericlane
