#include "search_engine.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

// Share of the remaining time after which an owner that has sent nothing is
// considered disconnected. It leaves more than half of the time for the next
// candidate.
constexpr double owner_silence_share = 0.4;
// With less time than this, another candidate can't answer in time.
constexpr duration min_retry_time = std::chrono::milliseconds(3);
// A query is congested if more than one in this many of its sub-requests waited
// long. A fault of a single group must not lower the limit for all queries.
constexpr std::size_t congested_part_divisor = 4;

/** True if another candidate owner may accept what one refused for that
    reason. */
bool may_help_elsewhere(reason cause)
{
    return cause == reason::unknown_group ||
           cause == reason::instance_leaving ||
           cause == reason::instance_starting || cause == reason::no_bundle;
}

} // namespace

search_engine::search_engine(
    ordinal own_ordinal,
    std::uint64_t nonce,
    const clock& time_source,
    const owner_directory& directory,
    entry_actions& actions,
    reason_listener* listener)
    : own_ordinal_(own_ordinal)
    , nonce_(nonce)
    , time_source_(time_source)
    , directory_(directory)
    , actions_(actions)
    , listener_(listener)
{
}

void search_engine::on_bundle(std::shared_ptr<const bundle> bundle_in_force)
{
    assert(bundle_in_force != nullptr);
    auto owners = bundle_in_force_ == nullptr
                      ? owner_map(*bundle_in_force)
                      : owner_map(*bundle_in_force, bundle_in_force_->owners);
    limiter_.on_bundle(*bundle_in_force);
    bundle_in_force_ = std::make_shared<const pinned_bundle>(
        pinned_bundle{std::move(bundle_in_force), std::move(owners)});
}

query_id search_engine::on_search(const search_request& request)
{
    query_id id{nonce_, ++last_counter_};
    auto now = time_source_.now();
    if (auto cause = admit(request, now); cause != reason::none)
    {
        refuse(id, request, cause);
        return id;
    }
    auto new_query = std::make_unique<query_state>(
        id, request, bundle_in_force_, requested_services_, now);
    new_query->snapshot = snapshot_ranges_.choose_snapshot(requested_services_);
    auto& query = *new_query;
    queries_.emplace(id.counter, std::move(new_query));
    set_timer(query, now);
    std::vector<part*> all_parts;
    all_parts.reserve(query.parts.size());
    for (auto& it : query.parts)
        all_parts.push_back(&it);
    send_parts(query, all_parts);
    finish_if_complete(query);
    drop_stale_timers();
    return id;
}

/** Finds the services of a request in the bundle in force.
    @returns reason::none, or why they can't be searched */
reason search_engine::find_services(const search_request& request)
{
    requested_services_.clear();
    if (bundle_in_force_ == nullptr)
        return reason::no_bundle;
    for (auto it : request.services)
    {
        const auto* found = bundle_in_force_->content->find_service(it);
        if (found == nullptr)
            return reason::unknown_service;
        auto existing = std::find(
            requested_services_.begin(), requested_services_.end(), found);
        if (existing == requested_services_.end())
            requested_services_.push_back(found);
    }
    return requested_services_.empty() ? reason::missing_field : reason::none;
}

/** Admits a query and counts it as running, or returns why it is refused. */
reason search_engine::admit(const search_request& request, time_point now)
{
    if (auto cause = find_services(request); cause != reason::none)
        return cause;
    if (request.deadline <= now)
        return reason::deadline_past;
    if (!limiter_.try_acquire(request.request_rank))
        return reason::rank_limit;
    auto reachable_share = fastest_times_.reachable_share(
        requested_services_, request.deadline - now, now);
    auto min_coverage = bundle_in_force_->content->policy.min_coverage;
    if (reachable_share > 0.0 && reachable_share >= min_coverage)
        return reason::none;
    limiter_.release(request.request_rank);
    return reason::deadline_too_short;
}

void search_engine::refuse(
    query_id id, const search_request& request, reason cause)
{
    search_answer answer;
    answer.id = id;
    answer.caller_request_id = request.caller_request_id;
    answer.state = verdict::refused(cause);
    answer.missing_reason = cause;
    if (bundle_in_force_ != nullptr)
        answer.bundle_version = bundle_in_force_->content->version;
    coverage_counter empty_coverage;
    for (const auto* it : requested_services_)
        empty_coverage.add_service(*it);
    answer.coverage = empty_coverage.services();
    report_refusal(cause, request.request_rank);
    actions_.finish(answer);
}

/** Sends each sub-request to its next usable candidate, in one batch for each
    owner. */
void search_engine::send_parts(query_state& query, std::span<part* const> parts)
{
    targets_.clear();
    for (auto* it : parts)
    {
        assert(!it->is_done());
        ordinal owner = 0;
        if (choose_owner(query, *it, owner))
            targets_.emplace_back(owner, it);
        else
            fail_unless_pending(query, *it);
    }
    if (!targets_.empty())
        send_batches(query);
}

void search_engine::send_batches(query_state& query)
{
    auto now = time_source_.now();
    query.send_times.push_back(now);
    search_batch batch;
    batch.id = query.id;
    batch.attempt = static_cast<std::uint32_t>(query.send_times.size());
    batch.request_rank = query.request.request_rank;
    batch.snapshot = query.snapshot;
    batch.bundle_version = query.own_bundle->content->version;
    batch.limit = query.request.limit;
    batch.query = query.request.query;
    std::stable_sort(
        targets_.begin(), targets_.end(),
        [](const auto& a, const auto& b) { return a.first < b.first; });
    for (std::size_t n = 0; n < targets_.size();)
    {
        auto owner = targets_[n].first;
        batch.parts.clear();
        for (; n < targets_.size() && targets_[n].first == owner; ++n)
        {
            auto& it = *targets_[n].second;
            it.owner_requests[it.request_count++] = {
                batch.attempt, owner, true};
            batch.parts.push_back({it.group, it.epoch});
        }
        batch.time_left =
            query.request.deadline - now - expected_overhead(owner, query);
        actions_.send_batch(owner, batch);
    }
}

bool search_engine::choose_owner(
    query_state& query, part& sub_request, ordinal& owner) const
{
    if (sub_request.request_count == query_state::max_owner_requests)
        return false;
    auto candidates = query.own_bundle->owners.candidates(sub_request.group);
    while (sub_request.next_candidate < candidates.size())
    {
        owner = candidates[sub_request.next_candidate++];
        if (directory_.is_usable(owner))
            return true;
    }
    return false;
}

/** Returns the time to reserve for the hops to an owner and back. */
duration
search_engine::expected_overhead(ordinal owner, const query_state& query) const
{
    auto time_left = query.request.deadline - time_source_.now();
    duration hop_time = query.own_bundle->content->data_centre_delay;
    auto default_overhead =
        owner == own_ordinal_ ? duration::zero() : 2 * hop_time;
    auto overhead = owner_observations_.overhead(owner, default_overhead);
    return std::clamp(overhead, duration::zero(), time_left / 4);
}

/** Fails a sub-request that has no usable candidate left, unless one of its
    requests is pending. */
void search_engine::fail_unless_pending(query_state& query, part& sub_request)
{
    if (sub_request.is_pending())
        return;
    auto cause = sub_request.failure_reason == reason::none
                     ? reason::no_owner
                     : sub_request.failure_reason;
    report_refusal(cause, query.request.request_rank);
    query.fail(sub_request, cause);
}

void search_engine::on_shard_reply(const shard_reply& reply)
{
    auto found = queries_.find(reply.id.counter);
    if (reply.id.nonce != nonce_ || reply.id.counter > last_counter_ ||
        reply.id.counter == 0)
        return report_refusal(reason::unmatched_reply, rank::ordinary);
    if (found == queries_.end())
        return report_refusal(reason::late_reply, rank::ordinary);
    auto& query = *found->second;
    if (!accept_reply(query, reply))
        return;
    auto& sub_request = *query.find_part(reply.group);
    if (reply.state.result == outcome::ran)
        on_part_answered(query, sub_request, reply);
    else
        on_part_failed(query, sub_request, reply);
    finish_if_complete(query);
    drop_stale_timers();
}

/** Finds the pending request of a reply and marks it as answered.
    @returns false, after reporting the reason, if the reply is to be dropped */
bool search_engine::accept_reply(query_state& query, const shard_reply& reply)
{
    auto request_rank = query.request.request_rank;
    auto* sub_request = query.find_part(reply.group);
    if (sub_request == nullptr || reply.attempt > query.send_times.size())
    {
        report_refusal(reason::unmatched_reply, request_rank);
        return false;
    }
    if (reply.attempt <= query.last_stale_attempt)
    {
        report_refusal(reason::late_reply, request_rank);
        return false;
    }
    auto* request = sub_request->find_request(reply.attempt);
    if (request == nullptr)
    {
        report_refusal(reason::unmatched_reply, request_rank);
        return false;
    }
    if (!request->is_pending)
    {
        report_refusal(reason::duplicate_reply, request_rank);
        return false;
    }
    request->is_pending = false;
    record_reply(query, reply, request->owner);
    if (!sub_request->is_done())
        return true;
    report_refusal(reason::duplicate_reply, request_rank);
    return false;
}

/** Records what a reply tells of its owner and group: served snapshots, hop
    time, fastest time and queue delay. */
void search_engine::record_reply(
    query_state& query, const shard_reply& reply, ordinal owner)
{
    auto now = time_source_.now();
    auto response_time = now - query.send_times[reply.attempt - 1];
    snapshot_ranges_.on_range(reply.group, reply.served_snapshots);
    owner_observations_.on_reply(owner, now);
    record_queue_delay(query, reply);
    if (reply.state.result != outcome::ran)
        return;
    fastest_times_.on_answer(reply.group, response_time, now);
    // After a retry or a hedge, queue delay and service time don't add up to
    // the response time of the owner.
    if (reply.sub_requests_sent == 1)
        owner_observations_.on_overhead(
            owner, response_time - reply.queue_delay - reply.service_time);
}

void search_engine::record_queue_delay(
    query_state& query, const shard_reply& reply)
{
    auto request_rank = query.request.request_rank;
    auto cause = reply.state.cause;
    auto is_refused =
        reply.state.result == outcome::not_run &&
        (cause == reason::queue_full || cause == reason::queue_deadline);
    if (!is_refused && !limiter_.is_delayed(request_rank, reply.queue_delay))
        return;
    ++query.delayed_parts;
    if (query.is_congested ||
        query.delayed_parts * congested_part_divisor <= query.parts.size())
        return;
    query.is_congested = true;
    limiter_.on_congested_query(
        request_rank, query.admission_time, time_source_.now());
}

void search_engine::on_part_answered(
    query_state& query, part& sub_request, const shard_reply& reply)
{
    if (reply.epoch != sub_request.epoch)
    {
        sub_request.may_have_run = true;
        sub_request.failure_reason = reason::epoch_mismatch;
        report_refusal(reason::epoch_mismatch, query.request.request_rank);
        if (!sub_request.is_pending())
            query.fail(sub_request, reason::epoch_mismatch);
        return;
    }
    if (query.snapshot == 0)
        query.snapshot = reply.snapshot;
    if (reply.snapshot == query.snapshot)
        return query.add_answer(sub_request, reply);
    sub_request.may_have_run = true;
    report_refusal(reason::snapshot_mismatch, query.request.request_rank);
    on_snapshot_unavailable(query, sub_request, reason::snapshot_mismatch);
}

void search_engine::on_part_failed(
    query_state& query, part& sub_request, const shard_reply& reply)
{
    auto cause = reply.state.cause;
    sub_request.may_have_run |= reply.state.result == outcome::may_have_run;
    sub_request.failure_reason = cause;
    report_refusal(cause, query.request.request_rank);
    if (cause == reason::snapshot_gone)
        return on_snapshot_unavailable(query, sub_request, cause);
    if (sub_request.is_pending())
        return;
    if (!may_help_elsewhere(cause))
        return query.fail(sub_request, cause);
    part* retried_parts[] = {&sub_request};
    retry_next_owners(query, retried_parts, cause);
}

/** Handles a sub-request that was not answered from the query's snapshot.
    Restarts the query if another snapshot is now the one to choose; otherwise
    sends the sub-request again if all groups are known to serve the query's
    snapshot, or gives it up. A query restarts at most once, and a sub-request
    is sent again at most once. */
void search_engine::on_snapshot_unavailable(
    query_state& query, part& sub_request, reason cause)
{
    if (!query.is_restarted && restart_query(query))
        return;
    sub_request.failure_reason = cause;
    if (sub_request.is_pending() || retry_same_snapshot(query, sub_request))
        return;
    query.fail(sub_request, cause);
}

bool search_engine::retry_same_snapshot(query_state& query, part& sub_request)
{
    auto is_too_late =
        query.request.deadline - time_source_.now() < min_retry_time;
    if (is_too_late || sub_request.is_snapshot_retried ||
        choose_snapshot(query) != query.snapshot)
        return false;
    sub_request.is_snapshot_retried = true;
    sub_request.next_candidate = 0;
    if (listener_ != nullptr)
        listener_->on_retry(
            reason::snapshot_mismatch, query.request.request_rank);
    part* retried_parts[] = {&sub_request};
    send_parts(query, retried_parts);
    return true;
}

/** Returns the snapshot that a new query for the same services would use. */
std::uint64_t search_engine::choose_snapshot(const query_state& query) const
{
    std::vector<const service_map*> services;
    for (auto it : query.request.services)
        services.push_back(query.own_bundle->content->find_service(it));
    return snapshot_ranges_.choose_snapshot(services);
}

bool search_engine::restart_query(query_state& query)
{
    if (query.request.deadline - time_source_.now() < min_retry_time)
        return false;
    auto new_snapshot = choose_snapshot(query);
    // A restart with the same snapshot would only drop the replies so far.
    if (new_snapshot == 0 || new_snapshot == query.snapshot)
        return false;
    cancel_pending(query);
    query.restart(new_snapshot);
    if (listener_ != nullptr)
        listener_->on_retry(reason::snapshot_gone, query.request.request_rank);
    std::vector<part*> all_parts;
    all_parts.reserve(query.parts.size());
    for (auto& it : query.parts)
        all_parts.push_back(&it);
    send_parts(query, all_parts);
    return true;
}

void search_engine::on_owner_lost(ordinal owner)
{
    owner_observations_.forget(owner);
    std::vector<std::uint64_t> query_counters;
    query_counters.reserve(queries_.size());
    for (const auto& it : queries_)
        query_counters.push_back(it.first);
    for (auto it : query_counters)
    {
        auto& query = *queries_.at(it);
        std::vector<part*> retried_parts;
        for (auto& sub_request : query.parts)
        {
            auto is_affected = false;
            for (std::size_t n = 0; n < sub_request.request_count; ++n)
            {
                auto& request = sub_request.owner_requests[n];
                if (!request.is_pending || request.owner != owner)
                    continue;
                request.is_pending = false;
                is_affected = true;
            }
            if (!is_affected || sub_request.is_done())
                continue;
            sub_request.may_have_run = true;
            sub_request.failure_reason = reason::owner_lost;
            if (!sub_request.is_pending())
                retried_parts.push_back(&sub_request);
        }
        if (retried_parts.empty())
            continue;
        retry_next_owners(query, retried_parts, reason::owner_lost);
        finish_if_complete(query);
    }
    drop_stale_timers();
}

/** Sends sub-requests to their next candidates if there is time, else gives
    them up. */
void search_engine::retry_next_owners(
    query_state& query, std::span<part* const> parts, reason cause)
{
    if (query.request.deadline - time_source_.now() < min_retry_time)
    {
        for (auto* it : parts)
            fail_unless_pending(query, *it);
        return;
    }
    if (listener_ != nullptr)
        listener_->on_retry(cause, query.request.request_rank);
    send_parts(query, parts);
}

/** Retries sub-requests whose owner has sent nothing since they were sent. An
    owner that replies to other sub-requests is not disconnected: it retries at
    other searchers itself, and a second owner would only add load. */
void search_engine::check_owners(query_state& query)
{
    auto now = time_source_.now();
    std::vector<part*> retried_parts;
    for (auto& it : query.parts)
    {
        if (it.is_done() || it.request_count == 0)
            continue;
        const auto& last_request = it.owner_requests[it.request_count - 1];
        auto send_time = query.send_times[last_request.attempt - 1];
        auto has_replied = owner_observations_.has_replied_since(
            last_request.owner, send_time);
        if (last_request.is_pending && send_time <= query.last_owner_check &&
            !has_replied)
            retried_parts.push_back(&it);
    }
    query.last_owner_check = now;
    if (!retried_parts.empty())
        retry_next_owners(query, retried_parts, reason::attempt_timeout);
}

void search_engine::on_caller_gone(query_id id)
{
    auto found = queries_.find(id.counter);
    if (id.nonce != nonce_ || found == queries_.end())
        return;
    cancel_pending(*found->second);
    limiter_.release(found->second->request.request_rank);
    queries_.erase(found);
    drop_stale_timers();
}

void search_engine::on_timer()
{
    auto now = time_source_.now();
    while (timers_.first_due() <= now)
    {
        auto found = queries_.find(timers_.pop());
        if (found == queries_.end())
            continue;
        auto& query = *found->second;
        if (now >= query.request.deadline)
        {
            finish(query, true);
            continue;
        }
        check_owners(query);
        set_timer(query, now);
        finish_if_complete(query);
    }
    drop_stale_timers();
}

void search_engine::finish_if_complete(query_state& query)
{
    if (query.is_complete())
        finish(query, false);
}

void search_engine::finish(query_state& query, bool is_at_deadline)
{
    auto request_rank = query.request.request_rank;
    cancel_pending(query);
    auto answer = query.make_answer(is_at_deadline);
    if (!query.is_congested && answer.state.result == outcome::ran)
        limiter_.on_uncongested_query(request_rank);
    limiter_.release(request_rank);
    if (answer.state.result != outcome::ran)
        report_refusal(answer.state.cause, request_rank);
    queries_.erase(query.id.counter);
    actions_.finish(answer);
}

void search_engine::cancel_pending(const query_state& query)
{
    for (auto it : query.pending_owners())
        actions_.send_cancel(it, query.id);
}

/** Sets the only timer of a query: the next owner check, or the deadline. */
void search_engine::set_timer(const query_state& query, time_point now)
{
    auto time_left = query.request.deadline - now;
    auto check_delay = std::chrono::duration_cast<duration>(
        owner_silence_share * std::chrono::duration<double>(time_left));
    auto is_last_timer = time_left - check_delay < min_retry_time;
    timers_.push(
        is_last_timer ? query.request.deadline : now + check_delay,
        query.id.counter);
}

void search_engine::drop_stale_timers()
{
    while (!timers_.empty() && !queries_.contains(timers_.first()))
        timers_.pop();
}

void search_engine::report_refusal(reason cause, rank request_rank)
{
    if (listener_ != nullptr)
        listener_->on_refusal(cause, request_rank);
}

} // namespace turmericlane
