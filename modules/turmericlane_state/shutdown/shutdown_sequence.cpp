#include "shutdown_sequence.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

std::string_view to_string(shutdown_phase phase) noexcept
{
    switch (phase)
    {
    case shutdown_phase::serving:
        return "serving";
    case shutdown_phase::leaving:
        return "leaving";
    case shutdown_phase::draining:
        return "draining";
    case shutdown_phase::stopped:
        return "stopped";
    }
    return "unknown";
}

shutdown_sequence::shutdown_sequence(
    const shutdown_limits& limits,
    const clock& time_source,
    shutdown_actions& actions)
    : limits_(limits)
    , clock_(time_source)
    , actions_(actions)
{
    assert(limits.leaving_time <= limits.total_time);
}

void shutdown_sequence::on_termination_signal()
{
    on_termination_signal(clock_.now());
}

void shutdown_sequence::on_termination_signal(time_point signal_time)
{
    if (phase_ != shutdown_phase::serving)
        return stop();
    phase_ = shutdown_phase::leaving;
    drain_time_ = signal_time + limits_.leaving_time;
    stop_time_ = signal_time + limits_.total_time;
    actions_.leave();
}

void shutdown_sequence::on_in_flight_count(std::size_t count)
{
    in_flight_ = count;
    if (phase_ == shutdown_phase::draining && count == 0)
        stop();
}

void shutdown_sequence::on_timer()
{
    auto now = clock_.now();
    if (phase_ == shutdown_phase::leaving && drain_time_ <= now)
        drain();
    if (phase_ == shutdown_phase::draining && stop_time_ <= now)
        stop();
}

time_point shutdown_sequence::next_wakeup() const
{
    switch (phase_)
    {
    case shutdown_phase::leaving:
        return drain_time_;
    case shutdown_phase::draining:
        return stop_time_;
    default:
        return time_point::max();
    }
}

void shutdown_sequence::drain()
{
    phase_ = shutdown_phase::draining;
    actions_.drain();
}

void shutdown_sequence::stop()
{
    if (phase_ == shutdown_phase::stopped)
        return;
    phase_ = shutdown_phase::stopped;
    actions_.stop(in_flight_);
}

} // namespace turmericlane
