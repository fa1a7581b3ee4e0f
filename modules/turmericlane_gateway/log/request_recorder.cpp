#include "request_recorder.h"

namespace turmericlane
{

namespace
{

/** One of so many answers of the usual kind is logged. */
constexpr std::uint64_t usual_sample = 128;
constexpr std::uint64_t repeat_sample = 16;

/** "service@searcher state ms", separated by commas. */
std::string missing_text(const forward_result& result)
{
    std::string made;
    for (const auto& it : result.missing)
    {
        if (!made.empty())
            made += ", ";
        made += it.service + "@" + it.searcher + " " + std::string(it.state) +
                " " + std::to_string(to_milliseconds(it.attempt_age));
    }
    return made;
}

gateway_event event_of(const forward_result& result)
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
    const ended_request& which, const forward_result& result)
{
    const auto late = which.took > which.target;
    metrics_.on_result(result, which.took, !late);
    const auto usual = result.failure == forward_failure::none && !late &&
                       result.missing_parts == 0;
    const auto every = result.extra_attempts > 0 ? repeat_sample : usual_sample;
    if (usual && ++samples_ % every != 0)
        return;
    const auto missing = missing_text(result);
    log_.detail(
        event_of(result),
        {{"request", which.id},
         {"route", which.route},
         {"why", to_string(result.failure)},
         {"execution", to_string(result.execution)},
         {"took_ms", to_milliseconds(which.took)},
         {"target_ms", to_milliseconds(which.target)},
         {"missing", static_cast<std::int64_t>(result.missing_parts)},
         {"missing_parts", missing},
         {"attempts", static_cast<std::int64_t>(result.attempts)},
         {"repeats", static_cast<std::int64_t>(result.extra_attempts)},
         {"retry_after_ms", to_milliseconds(result.retry_after)},
         {"lag_ms", to_milliseconds(which.lag)},
         {"version", static_cast<std::int64_t>(which.version)}});
}

void request_recorder::on_abandoned(const ended_request& which)
{
    metrics_.requests_abandoned.add();
    log_.detail(
        gateway_event::request_abandoned,
        {{"request", which.id},
         {"route", which.route},
         {"after_ms", to_milliseconds(which.took)}});
}

void request_recorder::on_local_refusal(
    std::string_view id,
    local_refusal why,
    unsigned status,
    duration retry_after,
    std::uint64_t version)
{
    metrics_.on_local_refusal(status);
    log_.detail(
        gateway_event::request_refused,
        {{"request", id},
         {"why", to_string(why)},
         {"execution", to_string(outcome::not_run)},
         {"status", static_cast<std::int64_t>(status)},
         {"retry_after_ms", to_milliseconds(retry_after)},
         {"version", static_cast<std::int64_t>(version)}});
}

void request_recorder::on_malformed(unsigned status)
{
    metrics_.on_local_refusal(status);
    log_.detail(
        gateway_event::request_malformed,
        {{"status", static_cast<std::int64_t>(status)}});
}

void request_recorder::on_repeat(
    const forward_request& request, const std::string& service, bool hedge)
{
    metrics_.on_extra_attempt(hedge);
    if (hedge && ++samples_ % repeat_sample != 0)
        return;
    log_.detail(
        gateway_event::attempt_repeated,
        {{"request", request.label}, {"service", service}, {"hedge", hedge}});
}

void request_recorder::on_attempt_failed(
    const forward_request& request, const searcher& target, attempt_outcome how)
{
    metrics_.on_attempt_failed(how);
    log_.detail(
        gateway_event::attempt_failed,
        {{"request", request.label},
         {"service", target.entry().service},
         {"searcher", target.entry().id},
         {"how", to_string(how)},
         {"failures", static_cast<std::int64_t>(target.failures())}});
}

} // namespace turmericlane
