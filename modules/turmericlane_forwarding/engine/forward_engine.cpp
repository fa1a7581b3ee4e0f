#include "forward_engine.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time in which an answer is put together and handled on both ends, besides
    the way to the caller and back. */
constexpr auto handling_time = 4ms;
/** Time on the way that is assumed where none was measured. */
constexpr auto assumed_travel_time = 3ms;
/** Longer measured times are mostly delays that do not last. */
constexpr double max_travel_share = 0.3;
/** Part of the time left that is kept for the way back to the caller. */
constexpr double deadline_margin_share = 0.04;
/** An attempt with less time left than this is not sent. */
constexpr auto least_useful_time = 2ms;
/** Attempts of one part that were not executed. */
constexpr std::uint32_t max_rejections = 4;
/** How long an attempt may go on after its request was answered: longer than a
    pause of a searcher, so that its connection is kept. */
constexpr auto loser_time = 400ms;
/** A retry that the budget did not allow is tried again. */
constexpr auto budget_recheck = 15ms;
/** A searcher that was replaced is published within about this time. */
constexpr auto republication_time = 300ms;
/** From the time at which a failed searcher is tried again to its use. */
constexpr auto probe_time = 60ms;
/** An overdue attempt that could not be hedged is looked at again. */
constexpr auto hedge_recheck = 8ms;

duration scaled(duration span, double by)
{
    return std::chrono::duration_cast<duration>(span * by);
}

/** Part of the target that is not this instance's to spend. */
duration reply_margin(const forward_request& request)
{
    const auto known = request.travel_time > duration::zero();
    const auto travel = known ? request.travel_time : assumed_travel_time;
    const auto longest = scaled(request.how->target, max_travel_share);
    return std::min<duration>(travel, longest) + handling_time;
}

/** False only if it is certain that the request was not executed. */
bool may_have_run(attempt_outcome value)
{
    return value == attempt_outcome::answered ||
           value == attempt_outcome::server_error ||
           value == attempt_outcome::unacknowledged ||
           value == attempt_outcome::broken;
}

/** True if the attempt counts towards the searchers that may execute a part.
    One that was cut off from its searcher does not. */
bool counts_as_executed(attempt_outcome value)
{
    return may_have_run(value) && value != attempt_outcome::unacknowledged;
}

/** True if the request was sent. */
bool was_sent(attempt_outcome value)
{
    return value != attempt_outcome::not_sent &&
           value != attempt_outcome::turned_away;
}

answer_limits limits_of(const forward_request& request)
{
    const auto& how = *request.how;
    const auto patience =
        request.time_left - scaled(request.time_left, deadline_margin_share);
    answer_limits made;
    made.min_coverage = how.min_coverage;
    made.give_up_after = std::min(patience, how.timeout);
    made.answer_within =
        std::min(made.give_up_after, how.target - reply_margin(request));
    return made;
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
    , replicas_(settings.data_centre, settings.seed)
    , budget_(settings.repeats, time)
{
}

void forward_engine::start(forward_request request)
{
    assert(request.how != nullptr);
    assert(!requests_.contains(request.id));
    const auto& how = *request.how;
    const std::string* single = nullptr;
    if (!how.is_gathered())
        single = &request.routes->next_service(how);
    if (refused(request, single))
        return;

    const auto id = request.id;
    auto& made = requests_[id];
    made.arrived = clock_.now();
    made.limits = limits_of(request);
    made.timing = &timings_[how.name];
    made.request = std::move(request);
    made.parts.resize(how.is_gathered() ? how.shards.size() : 1);
    for (std::size_t i = 0; i < made.parts.size(); ++i)
        made.parts[i].service = single ? single : &how.shards[i];
    for (std::size_t i = 0; i < made.parts.size(); ++i)
        dispatch(made, i);
    if (!settle(made))
        set_check(made);
}

void forward_engine::on_caller_left(request_handle id)
{
    // Taken out first: released places must not go to the request itself.
    const auto left = requests_.extract(id);
    if (!left.empty())
        release_attempts(left.mapped(), true);
}

void forward_engine::on_result(attempt_handle attempt, attempt_result&& result)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end())
        return;
    const auto ended = std::move(found->second);
    attempts_.erase(found);
    const auto now = clock_.now();
    auto& target = *ended.target;
    target.on_end();
    if (result.load)
        target.on_load(*result.load, now);
    const auto took = now - ended.sent;
    switch (result.outcome)
    {
    case attempt_outcome::answered:
        target.on_answer(took, ended.timing->usual(), now);
        ended.timing->on_latency(took);
        break;
    case attempt_outcome::rejected:
        target.on_shed(now);
        break;
    case attempt_outcome::turned_away:
        target.on_turned_away(now);
        break;
    case attempt_outcome::server_error:
        target.on_error(now);
        break;
    case attempt_outcome::broken:
        target.on_broken(now);
        break;
    case attempt_outcome::misdirected:
        target.remove();
        break;
    case attempt_outcome::not_sent:
    case attempt_outcome::unacknowledged:
        target.on_failure(now);
        break;
    }

    const auto it = requests_.find(ended.request);
    if (it != requests_.end())
    {
        auto& of = it->second;
        auto& which = of.parts[ended.part];
        std::erase(which.attempts, attempt);
        --which.running;
        if (result.outcome != attempt_outcome::answered)
            listener_.attempt_failed(of.request, target, result.outcome);
        take_answer(of, ended.part, std::move(result));
        settle(of);
    }
    pump(target.entry().service);
}

void forward_engine::on_room(const std::string& service)
{
    pump(service);
}

void forward_engine::on_lag(duration lag)
{
    lag_ = lag;
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
        const auto due = timers_.pop();
        if (due.attempt != 0)
            expire_attempt(due.attempt);
        else
            check(due.request);
    }
}

duration forward_engine::queue_wait(const route& of, const std::string& service)
{
    const auto found = queues_.find(service);
    if (found == queues_.end())
        return duration::zero();
    std::size_t ahead = 0;
    for (const auto& [rank, parts] : found->second)
    {
        if (rank <= of.rank)
            ahead += parts.size();
    }
    std::size_t places = 0;
    for (const auto& it : searchers_.of_service(service))
        places += it->window();
    return timings_[of.name].usual() * ahead / std::max<std::size_t>(places, 1);
}

bool forward_engine::refused(
    const forward_request& request, const std::string* service)
{
    const auto& how = *request.how;
    forward_result made;
    const auto needed =
        how.is_gathered() ? how.min_coverage * how.shards.size() - 1e-9 : 1.0;
    const auto usable =
        how.is_gathered() ? usable_shards(how) : is_usable(*service);
    if (static_cast<double>(usable) < needed)
    {
        made.failure = forward_failure::no_searcher;
        made.retry_after = time_to_searcher(how, service);
        actions_.finish(request.id, std::move(made));
        return true;
    }
    instance_load load;
    load.in_flight = requests_.size();
    load.lag = lag_;
    if (how.is_gathered())
    {
        for (const auto& it : how.shards)
            load.queue_wait = std::max(load.queue_wait, queue_wait(how, it));
    }
    else
        load.queue_wait = queue_wait(how, *service);
    made.retry_after = admission_.refuse_for(how, load);
    if (made.retry_after == duration::zero())
        return false;
    made.failure = forward_failure::overloaded;
    actions_.finish(request.id, std::move(made));
    return true;
}

std::size_t forward_engine::usable_shards(const route& of) const
{
    return static_cast<std::size_t>(std::count_if(
        of.shards.begin(), of.shards.end(),
        [this](const std::string& it) { return is_usable(it); }));
}

bool forward_engine::is_usable(const std::string& service) const
{
    const auto replicas = searchers_.of_service(service);
    return std::any_of(
        replicas.begin(), replicas.end(),
        [](const auto& it) { return !it->ejected(); });
}

duration forward_engine::time_to_searcher(
    const route& of, const std::string* service) const
{
    const auto now = clock_.now();
    const auto earliest = [&](const std::string& name)
    {
        auto made = now + republication_time;
        for (const auto& it : searchers_.of_service(name))
            made = std::min(made, it->probe_at() + probe_time);
        return made;
    };
    if (service != nullptr)
        return std::max<duration>(earliest(*service) - now, probe_time);
    // All shards that are missing have to be back.
    auto latest = now + probe_time;
    for (const auto& it : of.shards)
    {
        if (!is_usable(it))
            latest = std::max(latest, earliest(it));
    }
    return latest - now;
}

void forward_engine::dispatch(request_state& of, std::size_t index)
{
    auto& which = of.parts[index];
    if (is_dispensable(of) && !is_usable(*which.service))
    {
        // The answer need not wait for a shard that is known to be down.
        fail_part(of, index);
        return;
    }
    const auto replicas = searchers_.of_service(*which.service);
    replica_choice::needs wanted;
    wanted.tried = which.tried;
    auto chosen = replicas_.choose(replicas, wanted, clock_.now());
    if (chosen.result == replica_choice::outcome::none && which.running == 0 &&
        !which.tried.empty())
    {
        // No other replica: one that failed before is better than none.
        wanted.tried = {};
        chosen = replicas_.choose(replicas, wanted, clock_.now());
    }
    if (chosen.result == replica_choice::outcome::none)
    {
        fail_part(of, index);
        return;
    }
    if (chosen.result == replica_choice::outcome::busy)
    {
        which.state = part_state::waiting;
        queues_[*which.service][of.request.how->rank].push_back(
            {of.request.id, index});
        return;
    }
    send(of, index, chosen.target);
}

bool forward_engine::is_dispensable(const request_state& of) const
{
    if (!of.request.how->is_gathered())
        return false;
    const gather_progress without_one{
        of.parts.size(), 0, of.parts_failed + 1, duration::zero()};
    return decide(without_one, of.limits) != gather_decision::fail;
}

void forward_engine::send(
    request_state& of, std::size_t index, const std::shared_ptr<searcher>& to)
{
    const auto now = clock_.now();
    auto& which = of.parts[index];
    const auto id = ++last_attempt_;
    which.state = part_state::running;
    ++which.running;
    which.last_sent = now;
    which.tried.push_back(to);
    which.attempts.push_back(id);
    to->on_start(now);
    attempts_.emplace(
        id, attempt_state{of.request.id, index, to, of.timing, now});
    if (which.tried.size() == 1)
        budget_.on_first(*which.service);
    else
        ++of.repeats;
    ++of.sent;
    const auto left = of.arrived + of.limits.give_up_after - now;
    actions_.send(id, of.request.id, to, left);
}

bool forward_engine::may_repeat(
    const request_state& of, const request_part& which) const
{
    const auto left = of.arrived + of.limits.give_up_after - clock_.now();
    return which.executed + which.running < of.request.how->max_attempts &&
           which.rejected < max_rejections && left >= least_useful_time;
}

void forward_engine::retry(
    request_state& of, std::size_t index, attempt_outcome after)
{
    auto& which = of.parts[index];
    const auto allowed = !may_have_run(after) ||
                         of.request.how->repeat == repetition::idempotent;
    if (!allowed || !may_repeat(of, which))
    {
        fail_part(of, index);
        return;
    }
    if (was_sent(after) && !budget_.try_retry(*which.service))
    {
        // The budget grows with each request and as its window moves on.
        which.state = part_state::postponed;
        which.postponed_after = after;
        return;
    }
    listener_.repeated(of.request, *which.service, false);
    dispatch(of, index);
}

void forward_engine::take_answer(
    request_state& of, std::size_t index, attempt_result&& result)
{
    auto& which = of.parts[index];
    const auto how = result.outcome;
    of.may_have_run = of.may_have_run || may_have_run(how);
    if (counts_as_executed(how))
        ++which.executed;
    else
        ++which.rejected;
    if (which.state == part_state::arrived || which.state == part_state::failed)
        return;
    if (result.outcome == attempt_outcome::answered)
    {
        which.state = part_state::arrived;
        which.answer = std::move(result.answer);
        ++of.parts_arrived;
        return;
    }
    if (result.outcome == attempt_outcome::server_error)
        which.answer = std::move(result.answer);
    if (which.running == 0)
        retry(of, index, how);
}

void forward_engine::fail_part(request_state& of, std::size_t index)
{
    auto& which = of.parts[index];
    assert(which.state != part_state::failed);
    which.state = part_state::failed;
    ++of.parts_failed;
}

void forward_engine::hedge(request_state& of, std::size_t index)
{
    auto& which = of.parts[index];
    if (of.request.how->repeat != repetition::idempotent ||
        !may_repeat(of, which))
        return;
    replica_choice::needs wanted;
    wanted.tried = which.tried;
    wanted.idle_only = true;
    const auto chosen = replicas_.choose(
        searchers_.of_service(*which.service), wanted, clock_.now());
    if (!chosen.target || !budget_.try_hedge(*which.service))
        return;
    listener_.repeated(of.request, *which.service, true);
    send(of, index, chosen.target);
}

void forward_engine::check(request_handle id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end() || clock_.now() < found->second.check_at)
        return;
    auto& of = found->second;
    check_parts(of);
    if (!settle(of))
        set_check(of);
}

void forward_engine::check_parts(request_state& of)
{
    const auto now = clock_.now();
    const auto delay = of.timing->delay(of.limits.answer_within);
    for (std::size_t i = 0; i < of.parts.size(); ++i)
    {
        auto& which = of.parts[i];
        if (which.state == part_state::postponed)
            retry(of, i, which.postponed_after);
        if (which.state != part_state::running || which.running != 1 ||
            now - which.last_sent < delay)
            continue;
        which.tried.back()->on_overdue(now);
        hedge(of, i);
    }
}

void forward_engine::set_check(request_state& of)
{
    const auto now = clock_.now();
    auto due = of.arrived + (of.request.how->is_gathered()
                                 ? next_decision(now - of.arrived, of.limits)
                                 : of.limits.give_up_after);
    const auto delay = of.timing->delay(of.limits.answer_within);
    for (const auto& it : of.parts)
    {
        if (it.state == part_state::postponed)
            due = std::min(due, now + budget_recheck);
        if (it.state != part_state::running || it.running != 1 ||
            !may_repeat(of, it))
            continue;
        const auto at = it.last_sent + delay;
        due = std::min(due, at > now ? at : now + hedge_recheck);
    }
    of.check_at = due;
    timers_.push(due, {of.request.id, 0});
}

void forward_engine::expire_attempt(attempt_handle id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    const auto target = found->second.target;
    const auto sent = found->second.sent;
    attempts_.erase(found);
    target->on_end();
    target->on_silence(sent, clock_.now());
    actions_.abandon(id);
    pump(target->entry().service);
}

bool forward_engine::settle(request_state& of)
{
    const auto& how = *of.request.how;
    const auto elapsed = clock_.now() - of.arrived;
    if (!how.is_gathered())
    {
        if (of.parts_arrived > 0)
            finish(of, forward_failure::none);
        else if (of.parts_failed > 0)
            finish(of, forward_failure::attempts_failed);
        else if (elapsed >= of.limits.give_up_after)
            finish(of, forward_failure::deadline);
        else
            return false;
        return true;
    }
    const gather_progress progress{
        of.parts.size(), of.parts_arrived, of.parts_failed, elapsed};
    switch (decide(progress, of.limits))
    {
    case gather_decision::wait:
        return false;
    case gather_decision::answer:
        finish(of, forward_failure::none);
        return true;
    case gather_decision::fail:
        break;
    }
    finish(
        of, elapsed >= of.limits.give_up_after
                ? forward_failure::deadline
                : forward_failure::attempts_failed);
    return true;
}

void forward_engine::finish(request_state& of, forward_failure failure)
{
    auto made = make_result(of, failure, clock_.now());
    const auto ended = requests_.extract(of.request.id);
    release_attempts(of, failure == forward_failure::deadline);
    actions_.finish(ended.key(), std::move(made));
}

void forward_engine::release_attempts(const request_state& of, bool at_once)
{
    for (const auto& which : of.parts)
    {
        for (const auto id : which.attempts)
        {
            if (at_once)
                expire_attempt(id);
            else
                timers_.push(clock_.now() + loser_time, {0, id});
        }
    }
}

void forward_engine::pump(const std::string& service)
{
    const auto found = queues_.find(service);
    if (found == queues_.end())
        return;
    for (auto& [rank, parts] : found->second)
    {
        while (!parts.empty())
        {
            const auto next = parts.front();
            const auto it = requests_.find(next.request);
            if (it == requests_.end() ||
                it->second.parts[next.part].state != part_state::waiting)
            {
                parts.pop_front();
                continue;
            }
            replica_choice::needs wanted;
            auto& which = it->second.parts[next.part];
            wanted.tried = which.tried;
            const auto chosen = replicas_.choose(
                searchers_.of_service(service), wanted, clock_.now());
            if (!chosen.target)
                return;
            parts.pop_front();
            send(it->second, next.part, chosen.target);
            set_check(it->second);
        }
    }
}

} // namespace turmericlane
