// The part of the class forward_engine that lists the open requests.

#include "forward_engine.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Limits the attempts listed for an open request. */
constexpr std::size_t max_listed_attempts = 4;

} // namespace

std::vector<open_request>
forward_engine::open_requests(std::size_t max_count) const
{
    const auto now = clock_.now();
    std::vector<request_handle> ids;
    ids.reserve(requests_.size());
    for (const auto& it : requests_)
        ids.push_back(it.first);
    std::sort(ids.begin(), ids.end());
    ids.resize(std::min(ids.size(), max_count));
    std::vector<open_request> result;
    for (const auto id : ids)
    {
        const auto& state = requests_.at(id);
        auto& entry = result.emplace_back();
        entry.id = id;
        entry.age = now - state.arrival_time;
        entry.time_left = state.limits.timeout - entry.age;
        entry.attempts_sent = state.attempts_sent;
        for (const auto& it : state.parts)
        {
            if (it.state != part_state::arrived)
                list_attempts(it, entry.attempts);
        }
    }
    return result;
}

void forward_engine::list_attempts(
    const request_part& part, std::vector<open_attempt>& result) const
{
    const auto now = clock_.now();
    for (const auto id : part.attempts)
    {
        const auto match = attempts_.find(id);
        if (match == attempts_.end() || result.size() == max_listed_attempts)
            continue;
        const auto& target = *match->second.target;
        const auto age = now - match->second.sent_time;
        result.push_back(
            {*part.service, target.entry().id, to_string(part_state::running),
             age, std::min(age, now - target.last_answer_time())});
    }
    if (!part.attempts.empty() || result.size() == max_listed_attempts)
        return;
    auto& entry = result.emplace_back();
    entry.service = *part.service;
    entry.state = to_string(part.state);
    if (!part.tried_searchers.empty())
    {
        entry.searcher = part.tried_searchers.back()->entry().id;
        entry.age = now - part.last_sent_time;
        entry.silence = entry.age;
    }
}

} // namespace turmericlane
