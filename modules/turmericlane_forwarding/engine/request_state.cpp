#include "request_state.h"

#include "../gather/record_merge.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Parts that a result names, at most; logs are bounded. */
constexpr std::size_t max_stated_parts = 4;
/** A searcher that is full has room again after about this time. */
constexpr auto full_retry_after = 100ms;

std::string_view name_of(part_state value) noexcept
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

std::vector<missing_part> missing_of(const request_state& of, time_point now)
{
    std::vector<missing_part> made;
    for (const auto& it : of.parts)
    {
        if (it.state == part_state::arrived)
            continue;
        if (made.size() == max_stated_parts)
            break;
        auto& stated = made.emplace_back();
        stated.service = *it.service;
        stated.state = name_of(it.state);
        if (it.tried.empty())
            continue;
        stated.searcher = it.tried.back()->entry().id;
        stated.since_sent = now - it.last_sent;
    }
    return made;
}

} // namespace

forward_result
make_result(request_state& of, forward_failure failure, time_point now)
{
    forward_result made;
    made.failure = failure;
    made.attempts = of.sent;
    made.repeats = of.repeats;
    const auto running = std::any_of(
        of.parts.begin(), of.parts.end(),
        [](const request_part& it) { return it.running > 0; });
    if (failure == forward_failure::none)
        made.execution = outcome::ran;
    else if (of.may_have_run || running)
        made.execution = outcome::may_have_run;
    else if (failure == forward_failure::attempts_failed)
    {
        made.failure = forward_failure::searchers_full;
        made.retry_after = full_retry_after;
    }
    if (!of.request.how->is_gathered())
        made.answer = std::move(of.parts.front().answer);
    else if (failure == forward_failure::none)
    {
        std::vector<std::string_view> bodies;
        for (auto& it : of.parts)
        {
            if (it.state != part_state::arrived)
                continue;
            bodies.push_back(it.answer.body);
            made.part_signatures.push_back(std::move(it.answer.signature));
        }
        made.missing_parts = of.parts.size() - bodies.size();
        made.answer.status = 200;
        made.answer.body = merge_records(bodies, of.request.how->top_count);
    }
    made.missing = missing_of(of, now);
    return made;
}

} // namespace turmericlane
