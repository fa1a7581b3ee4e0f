#include "forward_engine.h"

#include "request_limits.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** No extra attempt is sent with less time left. */
constexpr auto min_useful_time = 2ms;
/** Limit of the attempts of a sub-request that were not executed. */
constexpr std::uint32_t max_unexecuted_attempts = 4;
/** How long an attempt may run on after its request was answered: longer than a
    pause of a searcher, so that its connection need not be closed. */
constexpr auto surplus_attempt_time = 400ms;
/** Interval at which a retry that the budget did not allow is tried again. */
constexpr auto budget_recheck_interval = 15ms;
/** Interval at which an overdue attempt that could not be hedged is checked
    again. */
constexpr auto hedge_recheck_interval = 8ms;

/** True unless it is certain that the request was not executed. */
bool may_have_run(attempt_outcome value)
{
    return value == attempt_outcome::answered ||
           value == attempt_outcome::server_error ||
           value == attempt_outcome::unacknowledged ||
           value == attempt_outcome::broken;
}

/** True if the attempt counts towards the searchers on which a sub-request may
    be executed. An unacknowledged one does not. */
bool counts_as_executed(attempt_outcome value)
{
    return may_have_run(value) && value != attempt_outcome::unacknowledged;
}

/** True if any byte of the request was sent. */
bool was_sent(attempt_outcome value)
{
    return value != attempt_outcome::not_sent &&
           value != attempt_outcome::turned_away;
}

} // namespace

forward_engine::forward_engine(
    const forward_settings& settings,
    const clock& time,
    const searcher_registry& searchers,
    forward_actions& actions,
    forward_listener& listener)
    : clock_(time)
    , searchers_(searchers)
    , actions_(actions)
    , listener_(listener)
    , traffic_(
          settings.data_centre,
          settings.balance,
          searchers.evacuated_data_centres())
    , selector_(
          settings.data_centre,
          settings.seed,
          settings.balance.is_enabled ? &traffic_ : nullptr)
    , availability_(time, searchers, settings.regions, settings.seed)
    , budget_(settings.extra_attempts, time)
    , admission_(time, availability_, queues_)
{
    if (settings.shares_room)
        admission_.enable_room_control();
    if (settings.yields_to_urgent)
        admission_.enable_rank_priority();
    if (settings.exchanges_failures)
        failures_.emplace(time, searchers);
}

void forward_engine::start(forward_request request)
{
    assert(request.matched_route != nullptr);
    assert(!requests_.contains(request.id));
    const auto& matched_route = *request.matched_route;
    const std::string* single_service = nullptr;
    if (!matched_route.is_gathered())
        single_service = &request.routes->next_service(matched_route);
    if (try_refuse(request, single_service))
        return;

    const auto id = request.id;
    auto& state = requests_[id];
    state.arrival_time = clock_.now();
    state.limits = limits_of(request);
    state.timing = &timings_[matched_route.name];
    state.request = std::move(request);
    state.parts.resize(
        matched_route.is_gathered() ? matched_route.shards.size() : 1);
    for (std::size_t i = 0; i < state.parts.size(); ++i)
        state.parts[i].service =
            single_service ? single_service : &matched_route.shards[i];
    for (std::size_t i = 0; i < state.parts.size(); ++i)
        dispatch(state, i);
    if (try_finish(state))
        return;
    schedule_check(state);
    if (admission_.is_room_controlled())
        drop_waiting(state);
}

void forward_engine::on_caller_left(request_handle id)
{
    // Removed first, so that its waiting sub-requests are not sent when its
    // attempts end.
    const auto ended_request = requests_.extract(id);
    if (!ended_request.empty())
        release_attempts(ended_request.mapped(), true);
}

void forward_engine::prepare_stop(time_point end_time)
{
    admission_.prepare_stop(end_time);
}

void forward_engine::stop()
{
    // Removed first, so that waiting sub-requests are not sent when running
    // attempts end.
    auto ended_requests = std::exchange(requests_, {});
    for (auto& [id, state] : ended_requests)
    {
        // The parts of a gathered request that have arrived may be enough.
        const gather_progress progress{
            state.parts.size(), state.parts_arrived, state.parts_failed,
            state.limits.timeout};
        const auto is_answered =
            state.request.matched_route->is_gathered() &&
            decide_gather(progress, state.limits) == gather_decision::answer;
        auto result = make_result(
            state,
            is_answered ? forward_failure::none : forward_failure::stopping,
            clock_.now());
        release_attempts(state, true);
        actions_.finish(id, std::move(result));
    }
}

void forward_engine::on_result(attempt_handle attempt, attempt_result&& result)
{
    const auto match = attempts_.find(attempt);
    if (match == attempts_.end())
        return;
    const auto ended_attempt = std::move(match->second);
    attempts_.erase(match);
    const auto now = clock_.now();
    auto& target = *ended_attempt.target;
    target.on_request_ended();
    if (result.load)
        target.on_load(*result.load, now);
    const auto latency = now - ended_attempt.sent_time;
    switch (result.outcome)
    {
    case attempt_outcome::answered:
        target.on_answer(latency, ended_attempt.timing->median_latency(), now);
        ended_attempt.timing->on_latency(latency);
        traffic_.on_answer(target, latency, now);
        break;
    case attempt_outcome::rejected:
        target.on_rejected(now);
        if (failures_)
            failures_->on_rejected();
        break;
    case attempt_outcome::turned_away:
        target.on_turned_away(now);
        break;
    case attempt_outcome::server_error:
        target.on_server_error(now);
        break;
    case attempt_outcome::broken:
        target.on_broken_answer(now);
        break;
    case attempt_outcome::misdirected:
        target.remove();
        break;
    case attempt_outcome::not_sent:
    case attempt_outcome::unacknowledged:
        target.on_failure(now);
        break;
    }

    if (failures_ && may_have_run(result.outcome))
        failures_->on_result(
            target, result.outcome != attempt_outcome::answered);

    const auto it = requests_.find(ended_attempt.request);
    if (it != requests_.end())
    {
        auto& state = it->second;
        auto& part = state.parts[ended_attempt.part_index];
        std::erase(part.attempts, attempt);
        --part.running_attempts;
        if (result.outcome != attempt_outcome::answered)
            listener_.attempt_failed(state.request, target, result.outcome);
        handle_result(state, ended_attempt.part_index, std::move(result));
        const auto is_waiting = part.state == part_state::waiting;
        if (!try_finish(state) && is_waiting)
            schedule_check(state);
    }
    dispatch_waiting(target.entry().service);
}

void forward_engine::on_capacity_available(const std::string& service)
{
    dispatch_waiting(service);
}

void forward_engine::on_lag(duration lag)
{
    admission_.on_lag(lag);
}

void forward_engine::set_instances(double instances)
{
    budget_.set_instances(instances);
}

void forward_engine::on_timer()
{
    const auto now = clock_.now();
    while (timers_.first_due() <= now)
    {
        const auto due_timer = timers_.pop();
        if (due_timer.attempt != 0)
            abandon_attempt(due_timer.attempt);
        else
            check_request(due_timer.request);
    }
}

bool forward_engine::try_refuse(
    const forward_request& request, const std::string* service)
{
    const auto& timing = timings_[request.matched_route->name];
    const auto refusal =
        admission_.decide(request, service, timing, requests_.size());
    if (!refusal)
        return false;
    forward_result result;
    result.failure = refusal->failure;
    result.retry_after = refusal->retry_after;
    actions_.finish(request.id, std::move(result));
    return true;
}

time_point forward_engine::latest_start(const request_state& state) const
{
    // While nothing has run, a caller that is told when to come back is better
    // off than one that waits for a late answer.
    const auto limit = state.attempts_sent == state.unexecuted_count
                           ? state.limits.target_time
                           : state.limits.timeout;
    return state.arrival_time + limit -
           std::max<duration>(state.timing->median_latency(), min_useful_time);
}

bool forward_engine::is_usable(
    const request_state& state, const request_part& part) const
{
    return availability_.usable_time(
               *state.request.matched_route, *part.service) <= clock_.now();
}

bool forward_engine::is_unserved(
    const request_state& state, const request_part& part) const
{
    const auto start =
        availability_.usable_time(*state.request.matched_route, *part.service);
    return start != time_point::max() && start > clock_.now() &&
           start > latest_start(state) && may_refuse(state);
}

void forward_engine::dispatch(request_state& state, std::size_t part_index)
{
    auto& part = state.parts[part_index];
    if (is_part_dispensable(state) && !is_usable(state, part))
    {
        // The answer need not wait for a shard that is known to be down.
        fail_part(state, part_index);
        return;
    }
    const auto selection = select_searcher(state, part);
    if (selection.result == replica_selector::outcome::none ||
        (selection.result == replica_selector::outcome::busy &&
         is_unserved(state, part)))
    {
        fail_part(state, part_index);
        return;
    }
    if (selection.result == replica_selector::outcome::busy)
    {
        part.state = part_state::waiting;
        queues_.add(
            *part.service, state.request.matched_route->rank,
            make_waiting_part(state, part_index));
        return;
    }
    send(state, part_index, selection.target);
}

replica_selector::selection forward_engine::select_searcher(
    const request_state& state, const request_part& part)
{
    const auto replicas =
        availability_.candidates(*state.request.matched_route, *part.service);
    replica_selector::attempt_needs needs;
    needs.tried_searchers = part.tried_searchers;
    needs.time_left =
        state.arrival_time + state.limits.target_time - clock_.now();
    auto selection = selector_.choose(replicas, needs, clock_.now());
    if (selection.result == replica_selector::outcome::none &&
        part.running_attempts == 0 && !part.tried_searchers.empty())
    {
        needs.tried_searchers = {};
        selection = selector_.choose(replicas, needs, clock_.now());
    }
    return selection;
}

bool forward_engine::is_part_dispensable(const request_state& state) const
{
    if (!state.request.matched_route->is_gathered())
        return false;
    const gather_progress reduced_progress{
        state.parts.size(), 0, state.parts_failed + 1, duration::zero()};
    return decide_gather(reduced_progress, state.limits) !=
           gather_decision::fail;
}

void forward_engine::send(
    request_state& state,
    std::size_t part_index,
    const std::shared_ptr<searcher>& target)
{
    const auto now = clock_.now();
    auto& part = state.parts[part_index];
    const auto id = ++last_attempt_;
    part.state = part_state::running;
    ++part.running_attempts;
    part.last_sent_time = now;
    part.tried_searchers.push_back(target);
    part.attempts.push_back(id);
    target->on_request_sent(now);
    attempts_.emplace(
        id,
        attempt_state{state.request.id, part_index, target, state.timing, now});
    if (part.tried_searchers.size() == 1)
    {
        budget_.on_first_attempt(*part.service);
        if (admission_.is_room_controlled())
            admission_.room().on_started(
                *part.service, state.request.matched_route->rank);
    }
    else
        ++state.extra_attempts;
    ++state.attempts_sent;
    const auto time_left = state.arrival_time + state.limits.timeout - now;
    actions_.send(id, state.request.id, target, time_left);
}

bool forward_engine::allows_extra_attempt(
    const request_state& state, const request_part& part) const
{
    const auto time_left =
        state.arrival_time + state.limits.timeout - clock_.now();
    return part.executed_attempts + part.running_attempts <
               state.request.matched_route->max_attempts &&
           (part.unexecuted_attempts < max_unexecuted_attempts ||
            !may_refuse(state)) &&
           time_left >= min_useful_time;
}

void forward_engine::retry(
    request_state& state, std::size_t part_index, attempt_outcome outcome)
{
    auto& part = state.parts[part_index];
    const auto is_allowed =
        !may_have_run(outcome) || state.request.matched_route->semantics ==
                                      execution_semantics::idempotent;
    if (!is_allowed || !allows_extra_attempt(state, part))
    {
        fail_part(state, part_index);
        return;
    }
    if (was_sent(outcome) && !budget_.try_take_retry(*part.service))
    {
        // The budget grows with each request and as its window moves.
        part.state = part_state::postponed;
        part.postponed_outcome = outcome;
        return;
    }
    listener_.extra_attempt_started(state.request, *part.service, false);
    dispatch(state, part_index);
}

void forward_engine::handle_result(
    request_state& state, std::size_t part_index, attempt_result&& result)
{
    auto& part = state.parts[part_index];
    const auto outcome = result.outcome;
    state.may_have_run = state.may_have_run || may_have_run(outcome);
    if (counts_as_executed(outcome))
        ++part.executed_attempts;
    else
        ++part.unexecuted_attempts;
    if (!may_have_run(outcome))
        ++state.unexecuted_count;
    if (part.state == part_state::arrived || part.state == part_state::failed)
        return;
    if (result.outcome == attempt_outcome::answered)
    {
        part.state = part_state::arrived;
        part.answer = std::move(result.answer);
        ++state.parts_arrived;
        return;
    }
    if (result.outcome == attempt_outcome::server_error)
        part.answer = std::move(result.answer);
    if (part.running_attempts == 0)
        retry(state, part_index, outcome);
}

void forward_engine::fail_part(request_state& state, std::size_t part_index)
{
    auto& part = state.parts[part_index];
    assert(part.state != part_state::failed);
    part.state = part_state::failed;
    ++state.parts_failed;
}

void forward_engine::hedge(request_state& state, std::size_t part_index)
{
    auto& part = state.parts[part_index];
    if (state.request.matched_route->semantics !=
            execution_semantics::idempotent ||
        !allows_extra_attempt(state, part))
        return;
    replica_selector::attempt_needs needs;
    needs.tried_searchers = part.tried_searchers;
    needs.requires_idle = true;
    const auto selection = selector_.choose(
        availability_.candidates(*state.request.matched_route, *part.service),
        needs, clock_.now());
    if (!selection.target || !budget_.try_take_hedge(*part.service))
        return;
    listener_.extra_attempt_started(state.request, *part.service, true);
    send(state, part_index, selection.target);
}

void forward_engine::check_request(request_handle id)
{
    const auto match = requests_.find(id);
    if (match == requests_.end() || clock_.now() < match->second.next_check)
        return;
    auto& state = match->second;
    check_parts(state);
    if (try_finish(state))
        return;
    schedule_check(state);
    if (admission_.is_room_controlled())
        drop_waiting(state);
}

void forward_engine::check_parts(request_state& state)
{
    const auto now = clock_.now();
    const auto hedge_delay =
        state.timing->hedge_delay(state.limits.target_time);
    for (std::size_t i = 0; i < state.parts.size(); ++i)
    {
        auto& part = state.parts[i];
        if (part.state == part_state::postponed)
            retry(state, i, part.postponed_outcome);
        if (part.state == part_state::waiting && is_unserved(state, part))
            fail_part(state, i);
        if (part.state == part_state::waiting)
            dispatch_waiting(*part.service);
        // More urgent ones may have got what a cold searcher can handle.
        if (part.state == part_state::waiting && is_unserved(state, part))
            fail_part(state, i);
        if (part.state != part_state::running || part.running_attempts != 1 ||
            now - part.last_sent_time < hedge_delay)
            continue;
        part.tried_searchers.back()->on_overdue(now);
        hedge(state, i);
    }
}

void forward_engine::schedule_check(request_state& state)
{
    const auto now = clock_.now();
    auto next_check =
        state.arrival_time +
        (state.request.matched_route->is_gathered()
             ? next_decision_time(now - state.arrival_time, state.limits)
             : state.limits.timeout);
    const auto hedge_delay =
        state.timing->hedge_delay(state.limits.target_time);
    for (const auto& it : state.parts)
    {
        if (it.state == part_state::postponed)
            next_check = std::min(next_check, now + budget_recheck_interval);
        if (it.state == part_state::waiting &&
            admission_.is_room_controlled() && now < refusal_end(state))
            next_check = std::min(next_check, refusal_end(state));
        if (it.state == part_state::waiting)
            next_check = std::min(
                next_check, availability_.next_quiet_end(
                                *state.request.matched_route, *it.service));
        if (it.state != part_state::running || it.running_attempts != 1 ||
            !allows_extra_attempt(state, it))
            continue;
        const auto overdue_time = it.last_sent_time + hedge_delay;
        next_check = std::min(
            next_check,
            overdue_time > now ? overdue_time : now + hedge_recheck_interval);
    }
    state.next_check = next_check;
    timers_.push(next_check, {state.request.id, 0});
}

void forward_engine::abandon_attempt(attempt_handle id)
{
    const auto match = attempts_.find(id);
    if (match == attempts_.end())
        return;
    const auto target = match->second.target;
    const auto sent_time = match->second.sent_time;
    attempts_.erase(match);
    target->on_request_ended();
    target->on_no_answer(sent_time, clock_.now());
    actions_.abandon(id);
    dispatch_waiting(target->entry().service);
}

bool forward_engine::try_finish(request_state& state)
{
    const auto& matched_route = *state.request.matched_route;
    const auto elapsed_time = clock_.now() - state.arrival_time;
    if (!matched_route.is_gathered())
    {
        if (state.parts_arrived > 0)
            finish(state, forward_failure::none);
        else if (state.parts_failed > 0)
            finish(state, forward_failure::attempts_failed);
        else if (elapsed_time >= state.limits.timeout)
            finish(state, forward_failure::deadline);
        else
            return false;
        return true;
    }
    const gather_progress progress{
        state.parts.size(), state.parts_arrived, state.parts_failed,
        elapsed_time};
    switch (decide_gather(progress, state.limits))
    {
    case gather_decision::wait:
        return false;
    case gather_decision::answer:
        finish(state, forward_failure::none);
        return true;
    case gather_decision::fail:
        break;
    }
    finish(
        state, elapsed_time >= state.limits.timeout
                   ? forward_failure::deadline
                   : forward_failure::attempts_failed);
    return true;
}

void forward_engine::finish(request_state& state, forward_failure failure)
{
    auto result = make_result(state, failure, clock_.now());
    // Too late for a refusal.
    if (failure == forward_failure::deadline && !may_refuse(state))
        result.execution = outcome::may_have_run;
    if (result.failure == forward_failure::searchers_full)
    {
        const auto& matched_route = *state.request.matched_route;
        const auto* const service =
            matched_route.is_gathered() ? nullptr : state.parts.front().service;
        result.retry_after = std::max(
            result.retry_after,
            availability_.time_until_searcher(matched_route, service));
    }
    const auto ended_request = requests_.extract(state.request.id);
    release_attempts(state, failure == forward_failure::deadline);
    actions_.finish(ended_request.key(), std::move(result));
}

void forward_engine::release_attempts(
    const request_state& state, bool is_immediate)
{
    for (const auto& part : state.parts)
    {
        for (const auto id : part.attempts)
        {
            if (is_immediate)
                abandon_attempt(id);
            else
                timers_.push(clock_.now() + surplus_attempt_time, {0, id});
        }
    }
}

} // namespace turmericlane
