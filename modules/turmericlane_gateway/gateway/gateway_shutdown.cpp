// The part of the class gateway that shuts it down gracefully.

#include "gateway.h"

namespace turmericlane
{

void gateway::terminate()
{
    // The platform counts its grace from the sending of the signal.
    if (!signal_time_)
        signal_time_ = pauses_.earliest_signal_time(clock_.now());
    shutdown_recorder_.on_signal(make_snapshot());
    // A platform may repeat the signal; that is no reason to cut requests off.
    if (shutdown_.phase() != shutdown_phase::serving)
        return;
    shutdown_.on_termination_signal(*signal_time_);
    engine_.prepare_stop(shutdown_.stop_time());
    schedule_wakeup();
}

void gateway::leave()
{
    shutdown_recorder_.on_phase(make_snapshot());
    peers_.leave();
    choose_instances();
}

void gateway::drain()
{
    shutdown_recorder_.on_phase(make_snapshot());
    listener_.close_idle();
}

bool gateway::is_draining() const
{
    return shutdown_.phase() == shutdown_phase::draining ||
           shutdown_.phase() == shutdown_phase::stopped;
}

void gateway::finish_drain()
{
    if (pending_requests_.empty())
    {
        // Callers with old addresses would otherwise keep the instance busy
        // with refusals until its time is up, and the last ones would be cut
        // off.
        listener_.stop();
        listener_.close_idle();
    }
    // The session of a pending request is busy.
    shutdown_.on_in_flight_count(listener_.busy_count());
}

void gateway::stop(std::size_t)
{
    constexpr auto max_listed = shutdown_recorder::max_listed_requests;
    const auto pending = pending_requests_.size();
    shutdown_recorder_.on_stop(
        make_snapshot(), pending,
        pending > max_listed ? pending - max_listed : 0);
    record_open_requests();
    log_.flush();
    recorder_.expect_last_connections(max_listed);
    listener_.stop();
    listener_.close_idle();
    engine_.stop();
    loop_end_ = clock_.now() + last_answers_time(settings_);
    finish_stop();
}

void gateway::finish_stop()
{
    if (listener_.busy_count() > 0 && clock_.now() < loop_end_)
        return;
    listener_.report_process_end();
    shutdown_recorder_.on_loop_end(make_snapshot());
    log_.flush();
    loop_.stop();
}

shutdown_snapshot gateway::make_snapshot() const
{
    shutdown_snapshot snapshot;
    snapshot.phase = to_string(shutdown_.phase());
    if (signal_time_)
        snapshot.since_signal = clock_.now() - *signal_time_;
    snapshot.pending = pending_requests_.size();
    snapshot.sessions = listener_.count_sessions();
    snapshot.loop_lag = lag_;
    return snapshot;
}

void gateway::record_open_requests()
{
    const auto since_signal =
        signal_time_ ? clock_.now() - *signal_time_ : duration::zero();
    for (const auto& it :
         engine_.open_requests(shutdown_recorder::max_listed_requests))
    {
        const auto position = pending_requests_.find(it.id);
        if (position == pending_requests_.end())
            continue;
        position->second.is_listed = true;
        shutdown_recorder_.on_open_request(
            it, position->second.outgoing.id, position->second.route_name,
            since_signal);
    }
}

} // namespace turmericlane
