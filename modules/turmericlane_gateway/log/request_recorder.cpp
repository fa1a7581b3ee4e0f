#include "request_recorder.h"

namespace turmericlane
{

namespace
{

/** One of this many requests that were answered completely and in time is
    logged; more of them if they needed extra attempts. */
constexpr std::uint64_t usual_sampling_interval = 128;
constexpr std::uint64_t extra_attempt_sampling_interval = 16;

/** Returns the missing parts, each as "service@searcher state milliseconds",
    separated by commas. */
std::string describe_missing_parts(const forward_result& result)
{
    std::string text;
    for (const auto& it : result.missing)
    {
        if (!text.empty())
            text += ", ";
        text += it.service + "@" + it.searcher + " " + std::string(it.state) +
                " " + std::to_string(to_milliseconds(it.attempt_age));
    }
    return text;
}

gateway_event to_event(const forward_result& result)
{
    if (result.failure == forward_failure::none)
        return gateway_event::request_answered;
    return result.execution == outcome::not_run ? gateway_event::request_refused
                                                : gateway_event::request_failed;
}

} // namespace

std::string_view to_string(local_refusal value) noexcept
{
    switch (value)
    {
    case local_refusal::leaving:
        return "leaving";
    case local_refusal::no_state:
        return "no_state";
    case local_refusal::no_route:
        return "no_route";
    case local_refusal::no_request_id:
        return "no_request_id";
    }
    return "unknown";
}

request_recorder::request_recorder(json_log& log, gateway_metrics& metrics)
    : log_(log)
    , metrics_(metrics)
{
}

void request_recorder::on_result(
    const ended_request& request, const forward_result& result)
{
    const auto is_late = request.latency > request.target_latency;
    metrics_.on_result(result, request.latency, !is_late);
    const auto is_usual = result.failure == forward_failure::none && !is_late &&
                          result.missing_parts == 0;
    const auto sampling_interval = result.extra_attempts > 0
                                       ? extra_attempt_sampling_interval
                                       : usual_sampling_interval;
    if (is_usual && !request.is_listed &&
        ++sampling_counter_ % sampling_interval != 0)
        return;
    const auto missing_parts = describe_missing_parts(result);
    write(
        to_event(result), !request.is_listed,
        {{"request", request.request_id},
         {"route", request.route_name},
         {"why", to_string(result.failure)},
         {"execution", to_string(result.execution)},
         {"took_ms", to_milliseconds(request.latency)},
         {"target_ms", to_milliseconds(request.target_latency)},
         {"missing", static_cast<std::int64_t>(result.missing_parts)},
         {"missing_parts", missing_parts},
         {"attempts", static_cast<std::int64_t>(result.attempts)},
         {"repeats", static_cast<std::int64_t>(result.extra_attempts)},
         {"retry_after_ms", to_milliseconds(result.retry_after)},
         {"lag_ms", to_milliseconds(request.loop_lag)},
         {"version",
          static_cast<std::int64_t>(request.configuration_version)}});
}

void request_recorder::on_abandoned(const ended_request& request)
{
    metrics_.requests_abandoned.add();
    log_.write_detail(
        gateway_event::request_abandoned,
        {{"request", request.request_id},
         {"route", request.route_name},
         {"after_ms", to_milliseconds(request.latency)}});
}

void request_recorder::on_local_refusal(
    std::string_view request_id,
    local_refusal reason,
    unsigned status,
    duration retry_after,
    std::uint64_t configuration_version)
{
    metrics_.on_local_refusal(status);
    log_.write_detail(
        gateway_event::request_refused,
        {{"request", request_id},
         {"why", to_string(reason)},
         {"execution", to_string(outcome::not_run)},
         {"status", static_cast<std::int64_t>(status)},
         {"retry_after_ms", to_milliseconds(retry_after)},
         {"version", static_cast<std::int64_t>(configuration_version)}});
}

void request_recorder::on_connection_cut(
    std::string_view request_id, const connection_report& report)
{
    const auto bytes = [](std::size_t value)
    { return static_cast<std::int64_t>(value); };
    metrics_.on_connection_cut(report.cause);
    const auto is_last = last_connections_ > 0;
    last_connections_ -= is_last ? 1 : 0;
    write(
        gateway_event::connection_cut, !is_last,
        {{"request", request_id},
         {"cause", to_string(report.cause)},
         {"state", report.state},
         {"written_bytes", bytes(report.written_bytes)},
         {"unwritten_bytes", bytes(report.unwritten_bytes)},
         {"unacknowledged_bytes", bytes(report.unacknowledged_bytes)},
         {"unread_bytes", bytes(report.unread_bytes)}});
}

void request_recorder::expect_last_connections(std::size_t count)
{
    last_connections_ = count;
}

void request_recorder::write(
    gateway_event event,
    bool is_rate_limited,
    std::initializer_list<log_field> fields)
{
    if (is_rate_limited)
        log_.write_detail(event, fields);
    else
        log_.write_state(event, fields);
}

void request_recorder::on_malformed(unsigned status)
{
    metrics_.on_local_refusal(status);
    log_.write_detail(
        gateway_event::request_malformed,
        {{"status", static_cast<std::int64_t>(status)}});
}

void request_recorder::on_extra_attempt(
    const forward_request& request, const std::string& service, bool is_hedge)
{
    metrics_.on_extra_attempt(is_hedge);
    if (is_hedge && ++sampling_counter_ % extra_attempt_sampling_interval != 0)
        return;
    log_.write_detail(
        gateway_event::attempt_repeated, {{"request", request.label},
                                          {"service", service},
                                          {"hedge", is_hedge}});
}

void request_recorder::on_quiet_requested(
    const searcher& target, duration quiet_time)
{
    metrics_.quiet_requests.add();
    log_.write_detail(
        gateway_event::searcher_quiet,
        {{"searcher", target.entry().id},
         {"service", target.entry().service},
         {"quiet_ms", to_milliseconds(quiet_time)}});
}

void request_recorder::on_odd_field(
    const searcher& target, std::string_view name)
{
    metrics_.odd_fields.add();
    log_.write_detail(
        gateway_event::field_ignored, {{"searcher", target.entry().id},
                                       {"service", target.entry().service},
                                       {"field", name}});
}

void request_recorder::on_answer_too_large(const searcher& target)
{
    metrics_.answers_too_large.add();
    log_.write_detail(
        gateway_event::answer_too_large,
        {{"searcher", target.entry().id}, {"service", target.entry().service}});
}

void request_recorder::on_unmatched_answer(const searcher& target, bool has_id)
{
    metrics_.unmatched_answers.add();
    log_.write_detail(
        gateway_event::answer_unmatched, {{"searcher", target.entry().id},
                                          {"service", target.entry().service},
                                          {"has_id", has_id}});
}

void request_recorder::on_attempt_failed(
    const forward_request& request,
    const searcher& target,
    attempt_outcome failure)
{
    metrics_.on_attempt_failed(failure);
    log_.write_detail(
        gateway_event::attempt_failed,
        {{"request", request.label},
         {"service", target.entry().service},
         {"searcher", target.entry().id},
         {"how", to_string(failure)},
         {"failures", static_cast<std::int64_t>(target.failures())}});
}

} // namespace turmericlane
