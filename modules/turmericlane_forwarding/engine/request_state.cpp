#include "request_state.h"

#include "../gather/record_merge.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Limits the missing parts in a result, and so the length of its log line. */
constexpr std::size_t max_listed_parts = 4;
/** A full searcher is expected to accept requests again after this time. */
constexpr auto full_searcher_retry_after = 100ms;

std::vector<missing_part>
list_missing_parts(const request_state& state, time_point now)
{
    std::vector<missing_part> result;
    for (const auto& it : state.parts)
    {
        if (it.state == part_state::arrived)
            continue;
        if (result.size() == max_listed_parts)
            break;
        auto& entry = result.emplace_back();
        entry.service = *it.service;
        entry.state = to_string(it.state);
        if (it.tried_searchers.empty())
            continue;
        entry.searcher = it.tried_searchers.back()->entry().id;
        entry.attempt_age = now - it.last_sent_time;
    }
    return result;
}

} // namespace

std::string_view to_string(part_state value) noexcept
{
    switch (value)
    {
    case part_state::waiting:
        return "waiting";
    case part_state::running:
        return "running";
    case part_state::postponed:
        return "postponed";
    case part_state::arrived:
        return "arrived";
    case part_state::failed:
        return "failed";
    }
    return "unknown";
}

forward_result
make_result(request_state& state, forward_failure failure, time_point now)
{
    forward_result result;
    result.failure = failure;
    result.attempts = state.attempts_sent;
    result.extra_attempts = state.extra_attempts;
    const auto is_running = std::any_of(
        state.parts.begin(), state.parts.end(),
        [](const request_part& it) { return it.running_attempts > 0; });
    if (failure == forward_failure::none)
        result.execution = outcome::ran;
    else if (state.may_have_run || is_running)
        result.execution = outcome::may_have_run;
    else if (failure == forward_failure::attempts_failed)
    {
        result.failure = forward_failure::searchers_full;
        result.retry_after = full_searcher_retry_after;
    }
    if (!state.request.matched_route->is_gathered())
        result.answer = std::move(state.parts.front().answer);
    else if (failure == forward_failure::none)
    {
        std::vector<std::string_view> bodies;
        for (auto& it : state.parts)
        {
            if (it.state != part_state::arrived)
                continue;
            bodies.push_back(it.answer.body);
            result.part_signatures.push_back(std::move(it.answer.signature));
        }
        result.missing_parts = state.parts.size() - bodies.size();
        result.answer.status = 200;
        result.answer.body =
            merge_records(bodies, state.request.matched_route->top_count);
    }
    result.missing = list_missing_parts(state, now);
    return result;
}

} // namespace turmericlane
