// The part of the class forward_engine that handles waiting sub-requests and
// divides the room in front of services among ranks.

#include "forward_engine.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Part of the target within which a request may be refused: a caller that is
    told later has too little time left to go elsewhere. */
constexpr int refusal_divisor = 4;

/** Returns which of the waiting sub-requests of a rank are sent first; the
    lowest first. */
int dispatch_class(const waiting_part& part, time_point now)
{
    if (now >= part.overdue_time)
        return 0;
    return now <= part.latest_start ? 1 : 2;
}

} // namespace

time_point forward_engine::refusal_end(const request_state& state)
{
    return state.arrival_time +
           state.request.matched_route->target_latency / refusal_divisor;
}

waiting_part forward_engine::make_waiting_part(
    const request_state& state, std::size_t part_index) const
{
    return {
        state.request.id, part_index, latest_start(state), refusal_end(state),
        state.arrival_time + state.limits.timeout / 2};
}

bool forward_engine::may_refuse(const request_state& state) const
{
    return !admission_.is_room_controlled() ||
           clock_.now() <= refusal_end(state);
}

bool forward_engine::is_waiting(const waiting_part& part) const
{
    const auto match = requests_.find(part.request);
    return match != requests_.end() &&
           match->second.parts[part.part_index].state == part_state::waiting;
}

std::vector<std::pair<std::string, service_room::rank_share>>
forward_engine::room_shares()
{
    if (!admission_.is_room_controlled())
        return {};
    return admission_.room().shares();
}

void forward_engine::on_searchers_lost()
{
    std::vector<waiting_part> lost_parts;
    for (auto& [service, ranks] : queues_.services())
    {
        if (!searchers_.service_searchers(service).empty())
            continue;
        for (const auto& [rank, parts] : ranks)
            lost_parts.insert(lost_parts.end(), parts.begin(), parts.end());
        ranks.clear();
    }
    for (const auto& it : lost_parts)
    {
        const auto match = requests_.find(it.request);
        if (match == requests_.end() ||
            match->second.parts[it.part_index].state != part_state::waiting)
            continue;
        fail_part(match->second, it.part_index);
        if (!try_finish(match->second))
            schedule_check(match->second);
    }
}

void forward_engine::dispatch_waiting(const std::string& service)
{
    if (admission_.is_room_controlled())
        dispatch_by_share(service);
    else
        dispatch_in_order(service);
    schedule_waiting(service);
}

void forward_engine::schedule_waiting(const std::string& service)
{
    auto* const ranks = queues_.find(service);
    if (ranks == nullptr)
        return;
    for (const auto& [rank, parts] : *ranks)
    {
        for (const auto& it : parts)
        {
            if (!is_waiting(it))
                continue;
            auto& state = requests_.at(it.request);
            const auto& matched_route = *state.request.matched_route;
            const auto quiet_end =
                availability_.next_quiet_end(matched_route, service);
            if (quiet_end < state.next_check)
                schedule_check(state);
            else if (
                quiet_end == time_point::max() &&
                matched_route.home_regions.empty())
                return;
        }
    }
}

void forward_engine::dispatch_in_order(const std::string& service)
{
    auto* const ranks = queues_.find(service);
    if (ranks == nullptr)
        return;
    for (auto& [rank, parts] : *ranks)
    {
        auto position = parts.begin();
        while (position != parts.end())
        {
            const auto next_part = *position;
            const auto it = requests_.find(next_part.request);
            if (it == requests_.end() ||
                it->second.parts[next_part.part_index].state !=
                    part_state::waiting)
            {
                position = parts.erase(position);
                continue;
            }
            const auto& part = it->second.parts[next_part.part_index];
            const auto selection = select_searcher(it->second, part);
            if (!selection.target && part.tried_searchers.empty() &&
                it->second.request.matched_route->home_regions.empty())
                return;
            if (!selection.target)
            {
                // A searcher that this sub-request may not use, or not again,
                // may suit the next one.
                ++position;
                continue;
            }
            position = parts.erase(position);
            send(it->second, next_part.part_index, selection.target);
            schedule_check(it->second);
        }
    }
}

void forward_engine::dispatch_by_share(const std::string& service)
{
    auto* const ranks = queues_.find(service);
    if (ranks == nullptr)
        return;
    std::vector<std::uint32_t> waiting_ranks;
    for (auto& [rank, parts] : *ranks)
    {
        std::erase_if(
            parts, [this](const waiting_part& it) { return !is_waiting(it); });
        if (!parts.empty())
            waiting_ranks.push_back(rank);
    }
    auto is_full = false;
    while (!is_full && !waiting_ranks.empty())
    {
        const auto rank = admission_.room().next_rank(service, waiting_ranks);
        auto& parts = ranks->at(rank);
        const auto is_sent = dispatch_next(parts, is_full);
        if (!is_sent || parts.empty())
            std::erase(waiting_ranks, rank);
    }
}

bool forward_engine::dispatch_next(
    std::deque<waiting_part>& parts, bool& is_full)
{
    const auto now = clock_.now();
    // Late ones wait for room that the others leave, but not until their
    // callers give up.
    std::vector<waiting_part> candidates(parts.begin(), parts.end());
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [now](const waiting_part& a, const waiting_part& b)
        { return dispatch_class(a, now) < dispatch_class(b, now); });
    for (const auto& it : candidates)
    {
        auto& state = requests_.at(it.request);
        const auto& part = state.parts[it.part_index];
        const auto selection = select_searcher(state, part);
        if (selection.target)
        {
            std::erase_if(
                parts,
                [&it](const waiting_part& other) {
                    return other.request == it.request &&
                           other.part_index == it.part_index;
                });
            send(state, it.part_index, selection.target);
            schedule_check(state);
            return true;
        }
        // A searcher that this sub-request may not use, or not again, may suit
        // the next one.
        is_full = part.tried_searchers.empty() &&
                  state.request.matched_route->home_regions.empty();
        if (is_full)
            return false;
    }
    return false;
}

void forward_engine::drop_unservable(const std::string& service)
{
    auto* const ranks = queues_.find(service);
    if (ranks == nullptr)
        return;
    for (auto& [rank, parts] : *ranks)
    {
        std::erase_if(
            parts, [this](const waiting_part& it) { return !is_waiting(it); });
        if (parts.empty())
            continue;
        const auto& oldest = requests_.at(parts.front().request);
        const auto throughput = admission_.throughput(
            *oldest.request.matched_route, service, *oldest.timing);
        for (const auto& it :
             admission_.room().find_unservable(service, rank, throughput))
        {
            if (is_waiting(it))
                drop(it.request);
        }
        std::erase_if(
            parts, [this](const waiting_part& it) { return !is_waiting(it); });
    }
}

void forward_engine::drop_waiting(const request_state& state)
{
    std::vector<const std::string*> services;
    for (const auto& it : state.parts)
    {
        if (it.state == part_state::waiting)
            services.push_back(it.service);
    }
    // The names belong to the routes, which may end with the request.
    const auto routes = state.request.routes;
    for (const auto* it : services)
        drop_unservable(*it);
}

void forward_engine::drop(request_handle id)
{
    auto& state = requests_.at(id);
    // What may have run is not refused.
    if (state.attempts_sent != state.unexecuted_count)
        return;
    const auto& matched_route = *state.request.matched_route;
    const auto* const service =
        matched_route.is_gathered() ? nullptr : state.parts.front().service;
    auto result = make_result(state, forward_failure::overloaded, clock_.now());
    result.retry_after =
        admission_.on_dropped(state.request, service, *state.timing);
    requests_.erase(id);
    actions_.finish(id, std::move(result));
}

} // namespace turmericlane
