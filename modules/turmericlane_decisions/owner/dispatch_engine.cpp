#include "dispatch_engine.h"

#include "attempt_evaluation.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

dispatch_engine::dispatch_engine(
    std::uint64_t seed,
    const clock& time,
    owner_actions& actions,
    reason_listener* listener)
    : time_(time)
    , actions_(actions)
    , listener_(listener)
    , random_(seed)
{
}

void dispatch_engine::on_bundle(std::shared_ptr<const bundle> in_force)
{
    fleet_.on_bundle(std::move(in_force), time_.now());
    pump_all();
}

void dispatch_engine::on_batch(ordinal entry, const search_batch& batch)
{
    if (parts_.known(entry, batch))
        return count(reason::duplicate_reply, batch.work);
    auto now = time_.now();
    auto handle = parts_.add_batch(entry, batch, now + batch.time_left);
    parts_.hold(handle);
    for (const auto& it : batch.parts)
    {
        auto* group = fleet_.find_group(it.group, it.epoch, now);
        auto why = refusal(group, parts_.batch(handle));
        if (why == reason::none)
            take_part(handle, *group, it);
        else
            refuse(entry, batch, it, group, why);
    }
    parts_.release(handle);
    drop_stale_timers();
}

/** Queues a part and starts it at once if there is a slot. */
void dispatch_engine::take_part(
    std::uint64_t batch, group_state& group, const search_batch::part& asked)
{
    auto handle = parts_.add_part(batch);
    auto& part = parts_.at(handle);
    const auto& of = parts_.batch(batch);
    part.group = &group;
    part.epoch = asked.epoch;
    part.arrived = time_.now();
    part.waits = waiting::first_slot;
    ++queued_;
    group.queue.push(of.work, handle);
    pump(group);
    const auto* left = parts_.find(handle);
    if (left != nullptr && left->waits == waiting::first_slot)
        set_timer(handle, of.deadline - group.latencies.fastest());
}

/** Why a new part can't be queued. Refusing the newest keeps the work that has
    waited longest. */
reason dispatch_engine::refusal(
    const group_state* group, const batch_record& batch) const
{
    if (fleet_.in_force() == nullptr)
        return reason::no_bundle;
    if (group == nullptr)
        return reason::unknown_group;
    if (group->queue.full(batch.work))
        return reason::queue_full;
    std::size_t ahead = 0;
    for (std::size_t n = 0; n <= index_of(batch.work); ++n)
        ahead += group->queue.waiting(all_ranks[n]);
    auto slots = static_cast<duration::rep>(std::max(group->slots, 1U));
    auto wait =
        group->latencies.mean() * static_cast<duration::rep>(ahead) / slots;
    auto earliest = time_.now() + wait + group->latencies.fastest();
    return earliest >= batch.deadline ? reason::queue_deadline : reason::none;
}

void dispatch_engine::refuse(
    ordinal entry,
    const search_batch& batch,
    const search_batch::part& asked,
    const group_state* group,
    reason why)
{
    reply_ = {};
    reply_.id = batch.id;
    reply_.attempt = batch.attempt;
    reply_.group = asked.group;
    reply_.state = verdict::refused(why);
    reply_.snapshot = batch.snapshot;
    reply_.epoch = asked.epoch;
    if (group != nullptr)
        reply_.served = group->replicas.served(nullptr, time_.now());
    count(why, batch.work);
    actions_.reply(entry, reply_);
}

/** Gives the free slots of a group to what waits for it. */
void dispatch_engine::pump(group_state& group)
{
    for (;;)
    {
        drop_withdrawn(group);
        if (group.queue.waiting() == 0 && group.extras.empty())
            return;
        auto next = group.queue.next(time_.now());
        if (!group.extras.empty() && pump_extra(group, next))
            continue;
        if (!next || !pump_first(group, *next))
            return;
    }
}

void dispatch_engine::drop_withdrawn(group_state& group)
{
    for (auto it : all_ranks)
        while (!group.queue.empty(it) &&
               parts_.find(group.queue.front(it)) == nullptr)
            group.queue.pop(it, true);
}

/** Starts the most urgent retry or hedge that may go before the next part.
    @returns false if there is none */
bool dispatch_engine::pump_extra(group_state& group, std::optional<rank> next)
{
    for (auto work : all_ranks)
        for (auto it : group.extras)
        {
            const auto& part = parts_.at(it);
            if (parts_.batch_of(part).work == work &&
                extra_may_go(group, part, next) && start_extra(it))
                return true;
        }
    return false;
}

/** Whether a retry or hedge goes before the next part of the queues. A hedge
    needs a slot that work of its rank or a more urgent one leaves free. */
bool dispatch_engine::extra_may_go(
    const group_state& group,
    const sub_request_record& part,
    std::optional<rank> next) const
{
    auto work = parts_.batch_of(part).work;
    if (part.waits == waiting::retry_slot)
        return !next || work <= *next;
    std::uint32_t busy = 0;
    for (std::size_t n = 0; n <= index_of(work); ++n)
        busy += group.in_flight[n];
    return (!next || work < *next) && busy < group.slots;
}

/** @returns false if the part has to go on waiting */
bool dispatch_engine::start_extra(std::uint64_t handle)
{
    auto& part = parts_.at(handle);
    auto choice = choose(part);
    if (choice.result == replica_set::outcome::busy)
        return false;
    auto hedge = part.waits == waiting::hedge_slot;
    withdraw(handle);
    if (choice.result == replica_set::outcome::none)
    {
        if (!hedge)
            fail(handle, part.why);
        return true;
    }
    if (hedge)
        start_hedge(handle, choice);
    else
        start(handle, choice);
    return true;
}

void dispatch_engine::start_hedge(
    std::uint64_t handle, const replica_set::choice& on)
{
    auto& part = parts_.at(handle);
    auto work = parts_.batch_of(part).work;
    if (!extras_.try_hedge(work))
    {
        count(reason::hedge_budget_empty, work);
        return set_check(handle);
    }
    ++part.hedges;
    if (listener_ != nullptr)
        listener_->hedged(work);
    start(handle, on);
}

/** Starts the first part of a rank, or drops it if it is too late.
    @returns false if it has to go on waiting */
bool dispatch_engine::pump_first(group_state& group, rank work)
{
    auto handle = group.queue.front(work);
    auto& part = parts_.at(handle);
    auto earliest = time_.now() + group.latencies.fastest();
    if (earliest >= parts_.batch_of(part).deadline)
    {
        fail(handle, reason::queue_deadline);
        return true;
    }
    auto choice = choose(part);
    if (choice.result == replica_set::outcome::busy)
        return false;
    if (choice.result == replica_set::outcome::none)
    {
        fail(handle, reason::no_replica);
        return true;
    }
    group.queue.pop(work, false);
    --queued_;
    part.waits = waiting::nothing;
    start(handle, choice);
    return true;
}

replica_set::choice dispatch_engine::choose(const sub_request_record& part)
{
    const auto& batch = parts_.batch_of(part);
    return part.group->replicas.choose(
        {batch.work, batch.snapshot, part.used()}, time_.now(), random_);
}

void dispatch_engine::start(std::uint64_t handle, const replica_set::choice& on)
{
    auto now = time_.now();
    auto& part = parts_.at(handle);
    auto& group = *part.group;
    auto work = parts_.batch_of(part).work;
    auto id = attempts_.add();
    auto& attempt = *attempts_.find(id);
    attempt.part = handle;
    attempt.group = &group;
    attempt.server = on.server;
    attempt.work = work;
    attempt.started = now;
    attempt.charged = group.latencies.mean();
    attempt.probe = on.probe;
    if (on.probe)
        on.server->on_probe_start();
    on.server->on_start(now);
    ++group.in_flight[index_of(work)];
    group.queue.charge(work, attempt.charged, now);
    if (part.sent == 0)
    {
        part.queue_delay = now - part.arrived;
        extras_.on_first(work, fleet_.in_force()->policy);
    }
    part.last_started = now;
    part.tried[part.sent++] = on.server->id();
    part.open[part.open_count++] = id;
    set_check(handle);
    send(id, part, on.server->id());
}

void dispatch_engine::send(
    attempt_id id, const sub_request_record& part, searcher_id server)
{
    const auto& batch = parts_.batch_of(part);
    request_.id = batch.id;
    request_.group = part.group->id;
    request_.server = server;
    request_.snapshot = batch.snapshot;
    request_.epoch = part.epoch;
    request_.work = batch.work;
    request_.time_left = batch.deadline - time_.now();
    request_.limit = batch.limit;
    request_.query = batch.query;
    actions_.start_attempt(id, request_);
}

void dispatch_engine::on_backend_reply(attempt_id id, backend_reply&& reply)
{
    const auto* found = attempts_.find(id);
    if (found == nullptr)
        return count(reason::unmatched_reply, rank::ordinary);
    auto attempt = *found;
    attempts_.remove(id);
    auto now = time_.now();
    auto& group = *attempt.group;
    attempt.server->on_end();
    --group.in_flight[index_of(attempt.work)];
    group.queue.charge(
        attempt.work, now - attempt.started - attempt.charged, now);
    attempt_evaluation::measure(attempt, reply, now);
    if (auto* part = parts_.find(attempt.part); part != nullptr)
    {
        auto last = part->open.begin() + part->open_count;
        auto kept = std::remove(part->open.begin(), last, id);
        part->open_count =
            static_cast<std::uint32_t>(kept - part->open.begin());
        take_reply(attempt.part, attempt, std::move(reply));
    }
    pump(group);
    for (auto* it : fleet_.groups_of(attempt.server->id()))
        if (it != &group)
            pump(*it);
    drop_stale_timers();
}

void dispatch_engine::take_reply(
    std::uint64_t handle, const attempt_record& attempt, backend_reply&& reply)
{
    auto now = time_.now();
    const auto& part = parts_.at(handle);
    const auto& batch = parts_.batch_of(part);
    auto why = attempt_evaluation::failure(reply, part, batch.snapshot);
    if (why != reason::none)
        return on_failed(handle, why);
    reply_ = {};
    reply_.state = verdict::success();
    reply_.snapshot = reply.snapshot;
    reply_.epoch = reply.epoch;
    reply_.served = part.group->replicas.served(attempt.server, now);
    reply_.service_time = now - attempt.started;
    reply_.hits = std::move(reply.hits);
    answer(handle);
}

/** An attempt of a part failed: waits for another one, retries, or fails. */
void dispatch_engine::on_failed(std::uint64_t handle, reason why)
{
    auto& part = parts_.at(handle);
    auto work = parts_.batch_of(part).work;
    part.why = why;
    part.may_have_run |= attempt_evaluation::may_have_run(why);
    if (part.open_count > 0)
        return;
    withdraw(handle);
    if (!extras_.may_retry(part, parts_.batch_of(part), time_.now()))
        return fail(handle, why);
    if (!extras_.try_retry(work))
    {
        count(reason::retry_budget_empty, work);
        return fail(handle, why);
    }
    if (listener_ != nullptr)
        listener_->retried(why, work);
    part.waits = waiting::retry_slot;
    ++queued_;
    part.group->extras.push_back(handle);
    set_timer(handle, parts_.batch_of(part).deadline);
}

/** Stops waiting for an attempt. Its slot stays taken until its end. */
void dispatch_engine::give_up_attempt(attempt_id id)
{
    auto& attempt = *attempts_.find(id);
    attempt.part = 0;
    attempt.given_up = time_.now();
    auto took = attempt.given_up - attempt.started;
    // The true latency is longer; a short wait says nothing.
    if (took > attempt.server->latency())
        attempt.group->replicas.on_latency(
            *attempt.server, took, attempt.given_up);
    actions_.cancel_attempt(id);
}

void dispatch_engine::on_timer()
{
    auto now = time_.now();
    while (timers_.first_due() <= now)
    {
        auto it = timers_.pop();
        const auto* part = parts_.find(it.part);
        if (part == nullptr || part->timer != it.due)
            continue;
        auto& group = *part->group;
        check(it.part);
        pump(group);
    }
    drop_stale_timers();
}

/** A part's timer is due. */
void dispatch_engine::check(std::uint64_t handle)
{
    auto& part = parts_.at(handle);
    if (part.waits == waiting::first_slot)
        return fail(handle, reason::queue_deadline);
    if (part.waits == waiting::retry_slot)
        return fail(handle, part.why);
    if (time_.now() >= parts_.batch_of(part).deadline)
        return fail(handle, reason::deadline_reached);
    if (!drop_slow_attempts(handle))
        return;
    hedge_if_due(handle);
    set_check(handle);
}

/** Gives up attempts that are over their time.
    @returns false if none is left: the part is retried or has failed */
bool dispatch_engine::drop_slow_attempts(std::uint64_t handle)
{
    auto& part = parts_.at(handle);
    auto now = time_.now();
    auto limit = extras_.attempt_timeout(part);
    std::uint32_t kept = 0;
    for (std::uint32_t n = 0; n < part.open_count; ++n)
    {
        auto id = part.open[n];
        const auto& attempt = *attempts_.find(id);
        if (now - attempt.started < limit)
        {
            part.open[kept++] = id;
            continue;
        }
        auto& server = *attempt.server;
        give_up_attempt(id);
        part.group->replicas.on_failure(server, now);
    }
    if (kept == part.open_count)
        return true;
    part.open_count = kept;
    on_failed(handle, reason::attempt_timeout);
    return kept > 0;
}

void dispatch_engine::hedge_if_due(std::uint64_t handle)
{
    auto& part = parts_.at(handle);
    auto work = parts_.batch_of(part).work;
    if (!extras_.may_hedge(part) || !extras_.can_hedge(work))
        return;
    auto due = part.last_started + extras_.hedge_delay(part, work);
    if (time_.now() < due)
        return;
    part.waits = waiting::hedge_slot;
    part.group->extras.push_back(handle);
}

/** Sets the timer of a part whose attempts run. */
void dispatch_engine::set_check(std::uint64_t handle)
{
    const auto& part = parts_.at(handle);
    auto now = time_.now();
    auto first = now;
    for (std::uint32_t n = 0; n < part.open_count; ++n)
        first = std::min(first, attempts_.find(part.open[n])->started);
    set_timer(
        handle, extras_.next_check(part, parts_.batch_of(part), first, now));
}

void dispatch_engine::set_timer(std::uint64_t handle, time_point due)
{
    parts_.find(handle)->timer = due;
    timers_.push(due, {handle, due});
}

void dispatch_engine::drop_stale_timers()
{
    while (!timers_.empty())
    {
        const auto& first = timers_.first();
        const auto* part = parts_.find(first.part);
        if (part != nullptr && part->timer == first.due)
            return;
        timers_.pop();
    }
}

/** Answers a part that got no result. */
void dispatch_engine::fail(std::uint64_t handle, reason why)
{
    const auto& part = parts_.at(handle);
    auto unknown = part.may_have_run || part.open_count > 0;
    reply_ = {};
    reply_.state = unknown ? verdict::unknown(why) : verdict::refused(why);
    reply_.snapshot = parts_.batch_of(part).snapshot;
    reply_.epoch = part.epoch;
    const auto* last = part.sent == 0
                           ? nullptr
                           : fleet_.find_server(part.tried[part.sent - 1]);
    reply_.served = part.group->replicas.served(last, time_.now());
    count(why, parts_.batch_of(part).work);
    answer(handle);
}

/** Sends reply_ as the answer of a part and removes the part. */
void dispatch_engine::answer(std::uint64_t handle)
{
    const auto& part = parts_.at(handle);
    const auto& batch = parts_.batch_of(part);
    reply_.id = batch.id;
    reply_.attempt = batch.attempt;
    reply_.group = part.group->id;
    reply_.queue_delay =
        part.sent == 0 ? time_.now() - part.arrived : part.queue_delay;
    reply_.sub_requests_sent = part.sent;
    auto entry = batch.entry;
    remove_part(handle);
    actions_.reply(entry, reply_);
}

/** Takes a part out of the queue that it waits in. */
void dispatch_engine::withdraw(std::uint64_t handle)
{
    auto& part = parts_.at(handle);
    auto& group = *part.group;
    if (part.waits == waiting::first_slot)
        group.queue.on_withdrawn(parts_.batch_of(part).work);
    else if (part.waits != waiting::nothing)
        std::erase(group.extras, handle);
    if (part.waits == waiting::first_slot || part.waits == waiting::retry_slot)
        --queued_;
    part.waits = waiting::nothing;
}

void dispatch_engine::remove_part(std::uint64_t handle)
{
    withdraw(handle);
    const auto& part = parts_.at(handle);
    for (std::uint32_t n = 0; n < part.open_count; ++n)
        give_up_attempt(part.open[n]);
    parts_.remove_part(handle);
}

void dispatch_engine::on_cancel(query_id id)
{
    for (auto it : parts_.parts_of(id))
        remove_part(it);
    drop_stale_timers();
}

void dispatch_engine::on_entry_lost(ordinal entry)
{
    for (auto it : parts_.parts_of_entry(entry))
        remove_part(it);
    drop_stale_timers();
}

void dispatch_engine::on_load_report(const load_report& report)
{
    if (auto* server = fleet_.find_server(report.server); server != nullptr)
        server->on_load_report(report, time_.now());
}

void dispatch_engine::on_server_leaving(searcher_id server, bool leaving)
{
    fleet_.on_listed(server, leaving, time_.now());
    for (auto* it : fleet_.groups_of(server))
        pump(*it);
    drop_stale_timers();
}

void dispatch_engine::on_pause_detected()
{
    fleet_.forget_views();
    pump_all();
}

/** Servers may have come into use, or the last one may have left. */
void dispatch_engine::pump_all()
{
    for (auto* it : fleet_.groups())
        pump(*it);
    drop_stale_timers();
}

std::uint32_t dispatch_engine::in_flight(searcher_id server)
{
    const auto* found = fleet_.find_server(server);
    return found == nullptr ? 0 : found->in_flight();
}

void dispatch_engine::count(reason why, rank work)
{
    if (listener_ != nullptr)
        listener_->refused(why, work);
}

} // namespace turmericlane
