#include "dispatch_engine.h"

#include "attempt_evaluation.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

dispatch_engine::dispatch_engine(
    std::uint64_t seed,
    const clock& time_source,
    owner_actions& actions,
    reason_listener* listener)
    : clock_(time_source)
    , actions_(actions)
    , listener_(listener)
    , random_(seed)
{
}

void dispatch_engine::on_bundle(std::shared_ptr<const bundle> new_bundle)
{
    registry_.on_bundle(std::move(new_bundle), clock_.now());
    dispatch_all_groups();
}

void dispatch_engine::on_batch(ordinal entry, const search_batch& batch)
{
    if (sub_requests_.is_duplicate(entry, batch))
        return count_refusal(reason::duplicate_reply, batch.request_rank);
    auto now = clock_.now();
    auto handle = sub_requests_.add_batch(entry, batch, now + batch.time_left);
    sub_requests_.retain(handle);
    for (const auto& it : batch.parts)
    {
        auto* group = registry_.find_or_add_group(it.group, it.epoch, now);
        auto cause = refusal_reason(group, sub_requests_.batch(handle));
        if (cause == reason::none)
            add_sub_request(handle, *group, it);
        else
            refuse_sub_request(entry, batch, it, group, cause);
    }
    sub_requests_.release(handle);
    drop_stale_timers();
}

/** Queues a sub-request and starts it at once if there is a slot. */
void dispatch_engine::add_sub_request(
    std::uint64_t batch_handle,
    group_state& group,
    const search_batch::part& requested_part)
{
    auto handle = sub_requests_.add_sub_request(batch_handle);
    auto& sub_request = sub_requests_.at(handle);
    const auto& batch = sub_requests_.batch(batch_handle);
    sub_request.group = &group;
    sub_request.epoch = requested_part.epoch;
    sub_request.arrival_time = clock_.now();
    sub_request.wait = wait_target::first_slot;
    ++waiting_count_;
    group.queue.push(batch.request_rank, handle);
    dispatch_waiting(group);
    const auto* queued_record = sub_requests_.find(handle);
    if (queued_record != nullptr &&
        queued_record->wait == wait_target::first_slot)
        set_timer(handle, batch.deadline - group.latencies.fastest());
}

/** Returns why a new sub-request can't be queued, or reason::none. Refusing the
    newest one keeps those that have waited longest. */
reason dispatch_engine::refusal_reason(
    const group_state* group, const batch_record& batch) const
{
    if (registry_.active_bundle() == nullptr)
        return reason::no_bundle;
    if (group == nullptr)
        return reason::unknown_group;
    if (group->queue.is_full(batch.request_rank))
        return reason::queue_full;
    std::size_t waiting_ahead = 0;
    for (std::size_t n = 0; n <= index_of(batch.request_rank); ++n)
        waiting_ahead += group->queue.waiting_count(all_ranks[n]);
    auto slots = static_cast<duration::rep>(std::max(group->slots, 1U));
    auto expected_wait = group->latencies.mean() *
                         static_cast<duration::rep>(waiting_ahead) / slots;
    auto earliest_answer =
        clock_.now() + expected_wait + group->latencies.fastest();
    return earliest_answer >= batch.deadline ? reason::queue_deadline
                                             : reason::none;
}

void dispatch_engine::refuse_sub_request(
    ordinal entry,
    const search_batch& batch,
    const search_batch::part& requested_part,
    const group_state* group,
    reason cause)
{
    reply_ = {};
    reply_.id = batch.id;
    reply_.attempt = batch.attempt;
    reply_.group = requested_part.group;
    reply_.state = verdict::refused(cause);
    reply_.snapshot = batch.snapshot;
    reply_.epoch = requested_part.epoch;
    if (group != nullptr)
        reply_.served_snapshots =
            group->replicas.common_snapshots(nullptr, clock_.now());
    count_refusal(cause, batch.request_rank);
    actions_.reply(entry, reply_);
}

/** Starts waiting sub-requests of a group while it has free slots. */
void dispatch_engine::dispatch_waiting(group_state& group)
{
    for (;;)
    {
        remove_withdrawn_items(group);
        if (group.queue.waiting_count() == 0 &&
            group.waiting_extra_attempts.empty())
            return;
        auto next_rank = group.queue.next_rank(clock_.now());
        if (!group.waiting_extra_attempts.empty() &&
            dispatch_extra_attempt(group, next_rank))
            continue;
        if (!next_rank || !dispatch_queued(group, *next_rank))
            return;
    }
}

void dispatch_engine::remove_withdrawn_items(group_state& group)
{
    for (auto it : all_ranks)
        while (!group.queue.is_empty(it) &&
               sub_requests_.find(group.queue.front(it)) == nullptr)
            group.queue.pop(it, true);
}

/** Starts the most urgent retry or hedge that goes before the first attempts in
    the queues.
    @param next_rank  rank that is next in the queues
    @returns false if there is none */
bool dispatch_engine::dispatch_extra_attempt(
    group_state& group, std::optional<rank> next_rank)
{
    for (auto request_rank : all_ranks)
        for (auto it : group.waiting_extra_attempts)
        {
            const auto& sub_request = sub_requests_.at(it);
            if (sub_requests_.batch_of(sub_request).request_rank ==
                    request_rank &&
                may_start_extra(group, sub_request, next_rank) &&
                start_extra_attempt(it))
                return true;
        }
    return false;
}

/** True if the retry or hedge of a sub-request goes before the first attempts
    in the queues. A hedge needs a slot that is not used by its rank or a more
    urgent one. */
bool dispatch_engine::may_start_extra(
    const group_state& group,
    const sub_request_record& sub_request,
    std::optional<rank> next_rank) const
{
    auto request_rank = sub_requests_.batch_of(sub_request).request_rank;
    if (sub_request.wait == wait_target::retry_slot)
        return !next_rank || request_rank <= *next_rank;
    std::uint32_t slots_in_use = 0;
    for (std::size_t n = 0; n <= index_of(request_rank); ++n)
        slots_in_use += group.attempts_in_flight[n];
    return (!next_rank || request_rank < *next_rank) &&
           slots_in_use < group.slots;
}

/** Starts the retry or hedge of a sub-request.
    @returns false if the sub-request has to go on waiting */
bool dispatch_engine::start_extra_attempt(std::uint64_t handle)
{
    auto& sub_request = sub_requests_.at(handle);
    auto choice = choose_server(sub_request);
    if (choice.result == replica_set::outcome::busy)
        return false;
    auto is_hedge = sub_request.wait == wait_target::hedge_slot;
    remove_from_queue(handle);
    if (choice.result == replica_set::outcome::none)
    {
        if (!is_hedge)
            fail_sub_request(handle, sub_request.last_failure);
        return true;
    }
    if (is_hedge)
        start_hedge(handle, choice);
    else
        start_attempt(handle, choice);
    return true;
}

void dispatch_engine::start_hedge(
    std::uint64_t handle, const replica_set::choice& choice)
{
    auto& sub_request = sub_requests_.at(handle);
    auto request_rank = sub_requests_.batch_of(sub_request).request_rank;
    if (!extra_policy_.try_take_hedge_token(request_rank))
    {
        count_refusal(reason::hedge_budget_empty, request_rank);
        return set_check_timer(handle);
    }
    ++sub_request.hedge_count;
    if (listener_ != nullptr)
        listener_->on_hedge(request_rank);
    start_attempt(handle, choice);
}

/** Starts the first sub-request in the queue of a rank, or fails it if it is
    too late.
    @returns false if it has to go on waiting */
bool dispatch_engine::dispatch_queued(group_state& group, rank request_rank)
{
    auto handle = group.queue.front(request_rank);
    auto& sub_request = sub_requests_.at(handle);
    auto earliest_answer = clock_.now() + group.latencies.fastest();
    if (earliest_answer >= sub_requests_.batch_of(sub_request).deadline)
    {
        fail_sub_request(handle, reason::queue_deadline);
        return true;
    }
    auto choice = choose_server(sub_request);
    if (choice.result == replica_set::outcome::busy)
        return false;
    if (choice.result == replica_set::outcome::none)
    {
        fail_sub_request(handle, reason::no_replica);
        return true;
    }
    group.queue.pop(request_rank, false);
    --waiting_count_;
    sub_request.wait = wait_target::nothing;
    start_attempt(handle, choice);
    return true;
}

replica_set::choice
dispatch_engine::choose_server(const sub_request_record& sub_request)
{
    const auto& batch = sub_requests_.batch_of(sub_request);
    return sub_request.group->replicas.choose(
        {batch.request_rank, batch.snapshot, sub_request.tried_servers()},
        clock_.now(), random_);
}

void dispatch_engine::start_attempt(
    std::uint64_t handle, const replica_set::choice& choice)
{
    auto now = clock_.now();
    auto& sub_request = sub_requests_.at(handle);
    auto& group = *sub_request.group;
    auto request_rank = sub_requests_.batch_of(sub_request).request_rank;
    auto id = attempts_.add();
    auto& attempt = *attempts_.find(id);
    attempt.sub_request = handle;
    attempt.group = &group;
    attempt.server = choice.server;
    attempt.request_rank = request_rank;
    attempt.start_time = now;
    attempt.charged_slot_time = group.latencies.mean();
    attempt.is_probe = choice.is_probe;
    if (choice.is_probe)
        choice.server->on_probe_start();
    choice.server->on_attempt_start(now);
    ++group.attempts_in_flight[index_of(request_rank)];
    group.queue.charge(request_rank, attempt.charged_slot_time, now);
    if (sub_request.attempts_sent == 0)
    {
        sub_request.queue_delay = now - sub_request.arrival_time;
        extra_policy_.on_first_attempt(
            request_rank, registry_.active_bundle()->policy);
    }
    sub_request.last_attempt_time = now;
    sub_request.attempt_servers[sub_request.attempts_sent++] =
        choice.server->id();
    sub_request.open_attempts[sub_request.open_attempt_count++] = id;
    set_check_timer(handle);
    send_attempt(id, sub_request, choice.server->id());
}

void dispatch_engine::send_attempt(
    attempt_id id, const sub_request_record& sub_request, searcher_id server)
{
    const auto& batch = sub_requests_.batch_of(sub_request);
    request_.id = batch.id;
    request_.group = sub_request.group->id;
    request_.server = server;
    request_.snapshot = batch.snapshot;
    request_.epoch = sub_request.epoch;
    request_.request_rank = batch.request_rank;
    request_.time_left = batch.deadline - clock_.now();
    request_.limit = batch.limit;
    request_.query = batch.query;
    actions_.start_attempt(id, request_);
}

void dispatch_engine::on_backend_reply(attempt_id id, backend_reply&& reply)
{
    const auto* record = attempts_.find(id);
    if (record == nullptr)
        return count_refusal(reason::unmatched_reply, rank::ordinary);
    auto attempt = *record;
    attempts_.remove(id);
    auto now = clock_.now();
    auto& group = *attempt.group;
    attempt.server->on_attempt_end();
    --group.attempts_in_flight[index_of(attempt.request_rank)];
    group.queue.charge(
        attempt.request_rank,
        now - attempt.start_time - attempt.charged_slot_time, now);
    attempt_evaluation::record(attempt, reply, now);
    if (auto* sub_request = sub_requests_.find(attempt.sub_request);
        sub_request != nullptr)
    {
        auto end = sub_request->open_attempts.begin() +
                   sub_request->open_attempt_count;
        auto new_end = std::remove(sub_request->open_attempts.begin(), end, id);
        sub_request->open_attempt_count = static_cast<std::uint32_t>(
            new_end - sub_request->open_attempts.begin());
        handle_reply(attempt.sub_request, attempt, std::move(reply));
    }
    dispatch_waiting(group);
    for (auto* it : registry_.groups_of_server(attempt.server->id()))
        if (it != &group)
            dispatch_waiting(*it);
    drop_stale_timers();
}

void dispatch_engine::handle_reply(
    std::uint64_t handle, const attempt_record& attempt, backend_reply&& reply)
{
    auto now = clock_.now();
    const auto& sub_request = sub_requests_.at(handle);
    const auto& batch = sub_requests_.batch_of(sub_request);
    auto cause =
        attempt_evaluation::failure_reason(reply, sub_request, batch.snapshot);
    if (cause != reason::none)
        return on_attempt_failure(handle, cause);
    reply_ = {};
    reply_.state = verdict::success();
    reply_.snapshot = reply.snapshot;
    reply_.epoch = reply.epoch;
    reply_.served_snapshots =
        sub_request.group->replicas.common_snapshots(attempt.server, now);
    reply_.service_time = now - attempt.start_time;
    reply_.hits = std::move(reply.hits);
    send_answer(handle);
}

/** Handles a failed attempt: waits for an attempt still running, queues a
    retry, or fails the sub-request. */
void dispatch_engine::on_attempt_failure(std::uint64_t handle, reason cause)
{
    auto& sub_request = sub_requests_.at(handle);
    auto request_rank = sub_requests_.batch_of(sub_request).request_rank;
    sub_request.last_failure = cause;
    sub_request.may_have_run |= attempt_evaluation::may_have_run(cause);
    if (sub_request.open_attempt_count > 0)
        return;
    remove_from_queue(handle);
    if (!extra_policy_.may_retry(
            sub_request, sub_requests_.batch_of(sub_request), clock_.now()))
        return fail_sub_request(handle, cause);
    if (!extra_policy_.try_take_retry_token(request_rank))
    {
        count_refusal(reason::retry_budget_empty, request_rank);
        return fail_sub_request(handle, cause);
    }
    if (listener_ != nullptr)
        listener_->on_retry(cause, request_rank);
    sub_request.wait = wait_target::retry_slot;
    ++waiting_count_;
    sub_request.group->waiting_extra_attempts.push_back(handle);
    set_timer(handle, sub_requests_.batch_of(sub_request).deadline);
}

/** Stops waiting for an attempt. Its slot stays in use until its end. */
void dispatch_engine::give_up_attempt(attempt_id id)
{
    auto& attempt = *attempts_.find(id);
    attempt.sub_request = 0;
    attempt.give_up_time = clock_.now();
    auto latency = attempt.give_up_time - attempt.start_time;
    // This is a lower bound of the latency, so a short time has no meaning.
    if (latency > attempt.server->latency())
        attempt.group->replicas.on_latency(
            *attempt.server, latency, attempt.give_up_time);
    actions_.cancel_attempt(id);
}

void dispatch_engine::on_timer()
{
    auto now = clock_.now();
    while (timers_.first_due() <= now)
    {
        auto it = timers_.pop();
        const auto* sub_request = sub_requests_.find(it.sub_request);
        if (sub_request == nullptr || sub_request->timer_due != it.due)
            continue;
        auto& group = *sub_request->group;
        check_sub_request(it.sub_request);
        dispatch_waiting(group);
    }
    drop_stale_timers();
}

/** Handles the due timer of a sub-request. */
void dispatch_engine::check_sub_request(std::uint64_t handle)
{
    auto& sub_request = sub_requests_.at(handle);
    if (sub_request.wait == wait_target::first_slot)
        return fail_sub_request(handle, reason::queue_deadline);
    if (sub_request.wait == wait_target::retry_slot)
        return fail_sub_request(handle, sub_request.last_failure);
    if (clock_.now() >= sub_requests_.batch_of(sub_request).deadline)
        return fail_sub_request(handle, reason::deadline_reached);
    if (!give_up_slow_attempts(handle))
        return;
    queue_hedge_if_due(handle);
    set_check_timer(handle);
}

/** Gives up attempts that have timed out.
    @returns false if no attempt is left and the sub-request is retried or has
             failed */
bool dispatch_engine::give_up_slow_attempts(std::uint64_t handle)
{
    auto& sub_request = sub_requests_.at(handle);
    auto now = clock_.now();
    auto timeout = extra_policy_.attempt_timeout(sub_request);
    std::uint32_t kept_count = 0;
    for (std::uint32_t n = 0; n < sub_request.open_attempt_count; ++n)
    {
        auto id = sub_request.open_attempts[n];
        const auto& attempt = *attempts_.find(id);
        if (now - attempt.start_time < timeout)
        {
            sub_request.open_attempts[kept_count++] = id;
            continue;
        }
        auto& server = *attempt.server;
        give_up_attempt(id);
        sub_request.group->replicas.on_failure(server, now);
    }
    if (kept_count == sub_request.open_attempt_count)
        return true;
    sub_request.open_attempt_count = kept_count;
    on_attempt_failure(handle, reason::attempt_timeout);
    return kept_count > 0;
}

void dispatch_engine::queue_hedge_if_due(std::uint64_t handle)
{
    auto& sub_request = sub_requests_.at(handle);
    auto request_rank = sub_requests_.batch_of(sub_request).request_rank;
    if (!extra_policy_.may_hedge(sub_request) ||
        !extra_policy_.has_hedge_token(request_rank))
        return;
    auto hedge_time = sub_request.last_attempt_time +
                      extra_policy_.hedge_delay(sub_request, request_rank);
    if (clock_.now() < hedge_time)
        return;
    sub_request.wait = wait_target::hedge_slot;
    sub_request.group->waiting_extra_attempts.push_back(handle);
}

/** Sets the timer of a sub-request with running attempts. */
void dispatch_engine::set_check_timer(std::uint64_t handle)
{
    const auto& sub_request = sub_requests_.at(handle);
    auto now = clock_.now();
    auto first_start_time = now;
    for (std::uint32_t n = 0; n < sub_request.open_attempt_count; ++n)
        first_start_time = std::min(
            first_start_time,
            attempts_.find(sub_request.open_attempts[n])->start_time);
    set_timer(
        handle, extra_policy_.next_check_time(
                    sub_request, sub_requests_.batch_of(sub_request),
                    first_start_time, now));
}

void dispatch_engine::set_timer(std::uint64_t handle, time_point due)
{
    sub_requests_.find(handle)->timer_due = due;
    timers_.push(due, {handle, due});
}

void dispatch_engine::drop_stale_timers()
{
    while (!timers_.empty())
    {
        const auto& first_timer = timers_.first();
        const auto* sub_request = sub_requests_.find(first_timer.sub_request);
        if (sub_request != nullptr && sub_request->timer_due == first_timer.due)
            return;
        timers_.pop();
    }
}

/** Answers a sub-request that has no result. */
void dispatch_engine::fail_sub_request(std::uint64_t handle, reason cause)
{
    const auto& sub_request = sub_requests_.at(handle);
    auto is_unknown =
        sub_request.may_have_run || sub_request.open_attempt_count > 0;
    reply_ = {};
    reply_.state =
        is_unknown ? verdict::unknown(cause) : verdict::refused(cause);
    reply_.snapshot = sub_requests_.batch_of(sub_request).snapshot;
    reply_.epoch = sub_request.epoch;
    const auto* last_server =
        sub_request.attempts_sent == 0
            ? nullptr
            : registry_.find_server(
                  sub_request.attempt_servers[sub_request.attempts_sent - 1]);
    reply_.served_snapshots =
        sub_request.group->replicas.common_snapshots(last_server, clock_.now());
    count_refusal(cause, sub_requests_.batch_of(sub_request).request_rank);
    send_answer(handle);
}

/** Sends reply_ as the answer of a sub-request and removes the sub-request. */
void dispatch_engine::send_answer(std::uint64_t handle)
{
    const auto& sub_request = sub_requests_.at(handle);
    const auto& batch = sub_requests_.batch_of(sub_request);
    reply_.id = batch.id;
    reply_.attempt = batch.attempt;
    reply_.group = sub_request.group->id;
    reply_.queue_delay = sub_request.attempts_sent == 0
                             ? clock_.now() - sub_request.arrival_time
                             : sub_request.queue_delay;
    reply_.sub_requests_sent = sub_request.attempts_sent;
    auto entry = batch.entry;
    remove_sub_request(handle);
    actions_.reply(entry, reply_);
}

/** Removes a sub-request from the queue that it waits in. */
void dispatch_engine::remove_from_queue(std::uint64_t handle)
{
    auto& sub_request = sub_requests_.at(handle);
    auto& group = *sub_request.group;
    if (sub_request.wait == wait_target::first_slot)
        group.queue.on_withdrawn(
            sub_requests_.batch_of(sub_request).request_rank);
    else if (sub_request.wait != wait_target::nothing)
        std::erase(group.waiting_extra_attempts, handle);
    if (sub_request.wait == wait_target::first_slot ||
        sub_request.wait == wait_target::retry_slot)
        --waiting_count_;
    sub_request.wait = wait_target::nothing;
}

void dispatch_engine::remove_sub_request(std::uint64_t handle)
{
    remove_from_queue(handle);
    const auto& sub_request = sub_requests_.at(handle);
    for (std::uint32_t n = 0; n < sub_request.open_attempt_count; ++n)
        give_up_attempt(sub_request.open_attempts[n]);
    sub_requests_.remove_sub_request(handle);
}

void dispatch_engine::on_cancel(query_id id)
{
    for (auto it : sub_requests_.sub_requests_of_query(id))
        remove_sub_request(it);
    drop_stale_timers();
}

void dispatch_engine::on_entry_lost(ordinal entry)
{
    for (auto it : sub_requests_.sub_requests_of_entry(entry))
        remove_sub_request(it);
    drop_stale_timers();
}

void dispatch_engine::on_load_report(const load_report& report)
{
    if (auto* server = registry_.find_server(report.server); server != nullptr)
        server->on_load_report(report, clock_.now());
}

void dispatch_engine::on_server_leaving(searcher_id server, bool is_leaving)
{
    registry_.on_listed_leaving(server, is_leaving, clock_.now());
    for (auto* it : registry_.groups_of_server(server))
        dispatch_waiting(*it);
    drop_stale_timers();
}

void dispatch_engine::on_pause_detected()
{
    registry_.reset_measurements();
    dispatch_all_groups();
}

/** Dispatches for all groups, as servers may have come into use, or the last
    one of a group may have left. */
void dispatch_engine::dispatch_all_groups()
{
    for (auto* it : registry_.groups())
        dispatch_waiting(*it);
    drop_stale_timers();
}

std::uint32_t dispatch_engine::attempts_in_flight(searcher_id id)
{
    const auto* server = registry_.find_server(id);
    return server == nullptr ? 0 : server->attempts_in_flight();
}

void dispatch_engine::count_refusal(reason cause, rank request_rank)
{
    if (listener_ != nullptr)
        listener_->on_refusal(cause, request_rank);
}

} // namespace turmericlane
