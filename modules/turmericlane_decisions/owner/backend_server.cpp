#include "backend_server.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

constexpr int latency_weight = 10;
// A sample counts as at most this multiple of the smoothed latency: one reply
// that is 20 times slower must not look like a slow server.
constexpr int sample_bound = 3;
constexpr std::uint32_t failing_streak = 3;
constexpr duration slow_start_time = 2s;
constexpr duration first_ejection = 1s;
constexpr std::uint32_t longest_ejection_doublings = 5;
constexpr duration probe_gap = 100ms;
constexpr std::uint32_t probes_to_return = 3;
// A server that stayed in use this long starts with the shortest ejection.
constexpr duration forgiven_after = 60s;
constexpr duration load_report_life = 10s;
// The list lags; it does not overrule the server's own word until then.
constexpr duration drain_reply_life = 10s;

} // namespace

backend_server::backend_server(searcher_id id)
    : id_(id)
{
}

void backend_server::set_limits(std::uint32_t slots, std::uint32_t window)
{
    assert(slots > 0 && window > 0);
    slots_ = slots;
    window_ = window;
}

void backend_server::on_start(time_point now)
{
    last_started_ = now;
    ++in_flight_;
    ++sent_since_report_;
}

void backend_server::on_end()
{
    assert(in_flight_ > 0);
    --in_flight_;
}

void backend_server::on_latency(duration took)
{
    if (samples_ == 0)
        latency_ = took;
    auto bounded = std::min(took, sample_bound * latency_);
    ++samples_;
    auto weight = std::min<int>(static_cast<int>(samples_), latency_weight);
    latency_ += (bounded - latency_) / weight;
}

duration backend_server::slow_for(bool slow, time_point now)
{
    slow_since_ = slow ? std::min(slow_since_, now) : time_point::max();
    return slow ? now - slow_since_ : duration::zero();
}

void backend_server::on_failure(time_point now)
{
    if (failures_ == 0)
        failing_since_ = now;
    ++failures_;
}

void backend_server::on_success()
{
    failures_ = 0;
}

void backend_server::on_shed(time_point now)
{
    reported_load_ = 1.0;
    reported_at_ = now;
    start_slowly(now);
}

void backend_server::on_drain_reply(time_point now)
{
    drain_replied_ = true;
    drain_reply_at_ = now;
}

void backend_server::on_listed(bool leaving, time_point now)
{
    auto was_leaving = listed_leaving_ || drain_replied_;
    listed_leaving_ = leaving;
    if (leaving)
        return;
    if (drain_replied_ && now - drain_reply_at_ < drain_reply_life)
        return;
    drain_replied_ = false;
    if (was_leaving)
        start_slowly(now);
}

void backend_server::on_bundle(time_point leaves_at, time_point now)
{
    if (now >= bundle_leaves_at_ && leaves_at == time_point::max())
        start_slowly(now);
    bundle_leaves_at_ = leaves_at;
}

void backend_server::on_load_report(const load_report& report, time_point now)
{
    reported_load_ = report.load;
    reported_at_ = now;
    sent_since_report_ = 0;
    on_range(report.served_snapshots);
    if (report.is_draining)
        return on_drain_reply(now);
    if (!drain_replied_ || now - drain_reply_at_ < drain_reply_life)
        return;
    drain_replied_ = false;
    start_slowly(now);
}

void backend_server::on_range(snapshot_range served)
{
    if (served.newest != 0)
        served_ = served;
}

void backend_server::forget_views()
{
    reported_load_ = 0.0;
    reported_at_ = {};
    sent_since_report_ = 0;
    failures_ = 0;
    samples_ = 0;
    latency_ = {};
    ejected_ = false;
    probing_ = false;
    good_probes_ = 0;
}

void backend_server::eject(time_point now)
{
    if (now - returned_at_ > forgiven_after)
        ejections_ = 0;
    auto doublings = std::min(ejections_, longest_ejection_doublings);
    ++ejections_;
    ejected_ = true;
    slow_since_ = time_point::max();
    probing_ = false;
    good_probes_ = 0;
    probe_at_ = now + first_ejection * (1U << doublings);
    // While a server stays out, its ejections go on adding up.
    returned_at_ = probe_at_;
}

bool backend_server::on_probe(bool good, time_point now)
{
    if (!ejected_)
        return false;
    probing_ = false;
    if (!good)
    {
        eject(now);
        return false;
    }
    probe_at_ = now + probe_gap;
    if (++good_probes_ < probes_to_return)
        return false;
    ejected_ = false;
    good_probes_ = 0;
    failures_ = 0;
    samples_ = 0;
    latency_ = {};
    returned_at_ = now;
    start_slowly(now);
    return true;
}

void backend_server::on_probe_cancelled(time_point now)
{
    probing_ = false;
    probe_at_ = std::max(probe_at_, now + probe_gap);
}

void backend_server::start_slowly(time_point now)
{
    slow_until_ = now + slow_start_time;
}

bool backend_server::leaving(time_point now) const
{
    return listed_leaving_ || drain_replied_ || now >= bundle_leaves_at_;
}

bool backend_server::has_room(time_point now) const
{
    auto window = window_;
    if (failures_ >= failing_streak)
        window = 1;
    else if (now < slow_until_)
    {
        auto left = std::chrono::duration<double>(slow_until_ - now) /
                    std::chrono::duration<double>(slow_start_time);
        auto grown = (1.0 - left) * static_cast<double>(window_);
        window = std::max(1U, static_cast<std::uint32_t>(grown));
    }
    return in_flight_ < window;
}

double backend_server::cost(duration fallback) const
{
    auto base = samples_ == 0 ? fallback : latency_;
    auto busy = static_cast<double>(in_flight_) / static_cast<double>(slots_);
    return static_cast<double>(base.count()) * (1.0 + busy) *
           (1.0 + static_cast<double>(failures_));
}

double backend_server::load(time_point now) const
{
    if (now - reported_at_ >= load_report_life)
        return 0.0;
    return reported_load_ + static_cast<double>(sent_since_report_) /
                                static_cast<double>(slots_);
}

bool backend_server::may_serve(std::uint64_t snapshot) const
{
    if (snapshot == 0 || served_.newest == 0)
        return true;
    return snapshot >= served_.oldest && snapshot <= served_.newest;
}

} // namespace turmericlane
