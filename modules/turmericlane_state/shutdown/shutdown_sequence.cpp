#include "shutdown_sequence.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

std::string_view to_string(shutdown_phase value) noexcept
{
    switch (value)
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
    const shutdown_limits& limits, const clock& time, shutdown_actions& actions)
    : limits_(limits)
    , clock_(time)
    , actions_(actions)
{
    assert(limits.leaving <= limits.total);
}

void shutdown_sequence::on_terminate()
{
    if (phase_ != shutdown_phase::serving)
        return stop();
    auto now = clock_.now();
    phase_ = shutdown_phase::leaving;
    drain_at_ = now + limits_.leaving;
    stop_at_ = now + limits_.total;
    actions_.leave();
}

void shutdown_sequence::on_in_flight(std::size_t count)
{
    in_flight_ = count;
    if (phase_ == shutdown_phase::draining && count == 0)
        stop();
}

void shutdown_sequence::on_timer()
{
    auto now = clock_.now();
    if (phase_ == shutdown_phase::leaving && drain_at_ <= now)
        drain();
    if (phase_ == shutdown_phase::draining && stop_at_ <= now)
        stop();
}

time_point shutdown_sequence::next_wakeup() const
{
    switch (phase_)
    {
    case shutdown_phase::leaving:
        return drain_at_;
    case shutdown_phase::draining:
        return stop_at_;
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
