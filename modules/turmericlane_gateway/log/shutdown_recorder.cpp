#include "shutdown_recorder.h"

namespace turmericlane
{

namespace
{

/** Signals beyond these are subject to the rate limit. */
constexpr std::size_t max_unlimited_signals = 16;

std::int64_t to_field(std::size_t value)
{
    return static_cast<std::int64_t>(value);
}

/** Returns the attempts, each as "service@searcher state milliseconds silent
    milliseconds", separated by commas. */
std::string describe_attempts(const open_request& request)
{
    std::string text;
    for (const auto& it : request.attempts)
    {
        if (!text.empty())
            text += ", ";
        text += it.service + "@" + it.searcher + " " + std::string(it.state) +
                " " + std::to_string(to_milliseconds(it.age)) + " silent " +
                std::to_string(to_milliseconds(it.silence));
    }
    return text;
}

/** Returns what the searchers of a request were doing: "at_work" if one has
    answered another request since it got this one, "silent" if none has,
    "not_sent" if none has it at present. */
std::string_view describe_searchers(const open_request& request)
{
    std::string_view result = "not_sent";
    for (const auto& it : request.attempts)
    {
        if (it.state != to_string(part_state::running))
            continue;
        if (it.silence < it.age)
            return "at_work";
        result = "silent";
    }
    return result;
}

} // namespace

shutdown_recorder::shutdown_recorder(json_log& log)
    : log_(log)
{
}

void shutdown_recorder::on_signal(const shutdown_snapshot& snapshot)
{
    const auto is_ignored = signal_count_ > 0;
    ++signal_count_;
    if (signal_count_ > max_unlimited_signals)
    {
        log_.write_detail(
            gateway_event::termination_signal,
            {{"phase", snapshot.phase}, {"ignored", is_ignored}});
        return;
    }
    write(
        gateway_event::termination_signal, snapshot, {{"ignored", is_ignored}});
}

void shutdown_recorder::on_phase(const shutdown_snapshot& snapshot)
{
    write(gateway_event::shutdown_phase, snapshot, {});
}

void shutdown_recorder::on_stop(
    const shutdown_snapshot& snapshot,
    std::size_t cut_off,
    std::size_t unlisted)
{
    write(
        gateway_event::stopped, snapshot,
        {{"cut_off", to_field(cut_off)}, {"unlisted", to_field(unlisted)}});
}

void shutdown_recorder::on_open_request(
    const open_request& request,
    std::string_view request_id,
    std::string_view route_name,
    duration since_signal)
{
    const auto attempts = describe_attempts(request);
    log_.write_state(
        gateway_event::request_open,
        {{"request", request_id},
         {"route", route_name},
         {"open_ms", to_milliseconds(request.age)},
         {"since_signal_ms", to_milliseconds(since_signal)},
         {"read_after_signal_ms", to_milliseconds(since_signal - request.age)},
         {"time_left_ms", to_milliseconds(request.time_left)},
         {"searchers", describe_searchers(request)},
         {"attempts", static_cast<std::int64_t>(request.attempts_sent)},
         {"open_parts", attempts}});
}

void shutdown_recorder::on_loop_end(const shutdown_snapshot& snapshot)
{
    write(gateway_event::loop_ended, snapshot, {});
}

void shutdown_recorder::write(
    gateway_event event,
    const shutdown_snapshot& snapshot,
    std::initializer_list<log_field> further_fields)
{
    const auto& sessions = snapshot.sessions;
    std::vector<log_field> fields = {
        {"phase", snapshot.phase},
        {"since_signal_ms", to_milliseconds(snapshot.since_signal)},
        {"pending", to_field(snapshot.pending)},
        {"handling", to_field(sessions.handling)},
        {"writing", to_field(sessions.writing)},
        {"discarding", to_field(sessions.discarding)},
        {"idle", to_field(sessions.idle)},
        {"reading", to_field(sessions.reading)},
        {"unacknowledged_bytes", to_field(sessions.unacknowledged_bytes)},
        {"unread_bytes", to_field(sessions.unread_bytes)},
        {"lag_ms", to_milliseconds(snapshot.loop_lag)}};
    fields.insert(fields.end(), further_fields);
    log_.write_state(event, fields);
}

} // namespace turmericlane
