#include "search_engine.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

// Share of the remaining time after which an owner that sent nothing since is
// taken to be cut off. It leaves more than half for the next candidate.
constexpr double owner_silence_share = 0.4;
// With less time than this, another candidate can't answer any more.
constexpr duration shortest_retry = std::chrono::milliseconds(3);
// One part in so many that waited long makes a query congested. A single
// group that is in trouble must not close the entry for all work.
constexpr std::size_t congested_part_share = 4;

/** True if another candidate owner may be able to do what this one refused. */
bool other_owner_may_help(reason why)
{
    return why == reason::unknown_group || why == reason::instance_leaving ||
           why == reason::instance_starting || why == reason::no_bundle;
}

} // namespace

search_engine::search_engine(
    ordinal self,
    std::uint64_t nonce,
    const clock& time,
    const owner_directory& directory,
    entry_actions& actions,
    reason_listener* listener)
    : self_(self)
    , nonce_(nonce)
    , time_(time)
    , directory_(directory)
    , actions_(actions)
    , listener_(listener)
{
}

void search_engine::on_bundle(std::shared_ptr<const bundle> in_force)
{
    assert(in_force != nullptr);
    auto owners = in_force_ == nullptr
                      ? owner_map(*in_force)
                      : owner_map(*in_force, in_force_->owners);
    admission_.on_bundle(*in_force);
    in_force_ = std::make_shared<const pinned_bundle>(
        pinned_bundle{std::move(in_force), std::move(owners)});
}

query_id search_engine::on_search(const search_request& request)
{
    query_id id{nonce_, ++last_counter_};
    auto now = time_.now();
    if (auto why = admit(request, now); why != reason::none)
    {
        refuse(id, request, why);
        return id;
    }
    auto made = std::make_unique<query_state>(
        id, request, in_force_, found_services_, now);
    made->snapshot = snapshots_.pin(found_services_);
    auto& query = *made;
    queries_.emplace(id.counter, std::move(made));
    set_timer(query, now);
    std::vector<part*> all;
    all.reserve(query.parts.size());
    for (auto& it : query.parts)
        all.push_back(&it);
    send(query, all);
    finish_if_complete(query);
    drop_stale_timers();
    return id;
}

/** Looks the request's services up in the bundle in force. */
reason search_engine::find_services(const search_request& request)
{
    found_services_.clear();
    if (in_force_ == nullptr)
        return reason::no_bundle;
    for (auto it : request.services)
    {
        const auto* found = in_force_->content->find_service(it);
        if (found == nullptr)
            return reason::unknown_service;
        auto known =
            std::find(found_services_.begin(), found_services_.end(), found);
        if (known == found_services_.end())
            found_services_.push_back(found);
    }
    return found_services_.empty() ? reason::missing_field : reason::none;
}

/** Counts the query in, or returns why it is refused. */
reason search_engine::admit(const search_request& request, time_point now)
{
    if (auto why = find_services(request); why != reason::none)
        return why;
    if (request.deadline <= now)
        return reason::deadline_past;
    if (!admission_.try_enter(request.request_rank))
        return reason::rank_limit;
    auto reachable =
        fastest_.reachable(found_services_, request.deadline - now, now);
    auto least = in_force_->content->policy.min_coverage;
    if (reachable > 0.0 && reachable >= least)
        return reason::none;
    admission_.leave(request.request_rank);
    return reason::deadline_too_short;
}

void search_engine::refuse(
    query_id id, const search_request& request, reason why)
{
    search_answer answer;
    answer.id = id;
    answer.caller_request_id = request.caller_request_id;
    answer.state = verdict::refused(why);
    answer.missing_reason = why;
    if (in_force_ != nullptr)
        answer.bundle_version = in_force_->content->version;
    coverage nothing;
    for (const auto* it : found_services_)
        nothing.add_service(*it);
    answer.coverage = nothing.services();
    count_drop(why, request.request_rank);
    actions_.finish(answer);
}

/** Asks the next usable candidate of each part, in one batch per owner. */
void search_engine::send(query_state& query, std::span<part* const> parts)
{
    targets_.clear();
    for (auto* it : parts)
    {
        assert(!it->done());
        ordinal owner = 0;
        if (choose_owner(query, *it, owner))
            targets_.emplace_back(owner, it);
        else
            give_up_unsent(query, *it);
    }
    if (!targets_.empty())
        send_batches(query);
}

void search_engine::send_batches(query_state& query)
{
    auto now = time_.now();
    query.sent.push_back(now);
    search_batch batch;
    batch.id = query.id;
    batch.attempt = static_cast<std::uint32_t>(query.sent.size());
    batch.request_rank = query.request.request_rank;
    batch.snapshot = query.snapshot;
    batch.bundle_version = query.pinned->content->version;
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
            it.sendings[it.sending_count++] = {batch.attempt, owner, true};
            batch.parts.push_back({it.group, it.epoch});
        }
        batch.time_left = query.request.deadline - now - overhead(owner, query);
        actions_.send_batch(owner, batch);
    }
}

bool search_engine::choose_owner(
    query_state& query, part& of, ordinal& owner) const
{
    if (of.sending_count == query_state::max_sendings)
        return false;
    auto candidates = query.pinned->owners.candidates(of.group);
    while (of.next_candidate < candidates.size())
    {
        owner = candidates[of.next_candidate++];
        if (directory_.is_usable(owner))
            return true;
    }
    return false;
}

/** Time to keep back for the hops to an owner and back. */
duration search_engine::overhead(ordinal owner, const query_state& query) const
{
    auto left = query.request.deadline - time_.now();
    duration hop = query.pinned->content->data_centre_delay;
    auto assumed = owner == self_ ? duration::zero() : 2 * hop;
    auto expected = owners_.overhead(owner, assumed);
    return std::clamp(expected, duration::zero(), left / 4);
}

/** No further candidate is usable: the part fails unless it still waits. */
void search_engine::give_up_unsent(query_state& query, part& of)
{
    if (of.waiting())
        return;
    auto why = of.why == reason::none ? reason::no_owner : of.why;
    count_drop(why, query.request.request_rank);
    query.fail(of, why);
}

void search_engine::on_shard_reply(const shard_reply& reply)
{
    auto found = queries_.find(reply.id.counter);
    if (reply.id.nonce != nonce_ || reply.id.counter > last_counter_ ||
        reply.id.counter == 0)
        return count_drop(reason::unmatched_reply, rank::ordinary);
    if (found == queries_.end())
        return count_drop(reason::late_reply, rank::ordinary);
    auto& query = *found->second;
    if (!matches(query, reply))
        return;
    auto& of = *query.find_part(reply.group);
    if (reply.state.result == outcome::ran)
        on_part_answered(query, of, reply);
    else
        on_part_failed(query, of, reply);
    finish_if_complete(query);
    drop_stale_timers();
}

/** Closes the request that a reply belongs to, or counts why there is none. */
bool search_engine::matches(query_state& query, const shard_reply& reply)
{
    auto work = query.request.request_rank;
    auto* of = query.find_part(reply.group);
    if (of == nullptr || reply.attempt > query.sent.size())
    {
        count_drop(reason::unmatched_reply, work);
        return false;
    }
    if (reply.attempt <= query.stale_attempts)
    {
        count_drop(reason::late_reply, work);
        return false;
    }
    auto* asked = of->find(reply.attempt);
    if (asked == nullptr)
    {
        count_drop(reason::unmatched_reply, work);
        return false;
    }
    if (!asked->open)
    {
        count_drop(reason::duplicate_reply, work);
        return false;
    }
    asked->open = false;
    measure(query, reply, asked->owner);
    if (!of->done())
        return true;
    count_drop(reason::duplicate_reply, work);
    return false;
}

/** Learns from a reply: served range, hop time, fastest time, queue delay. */
void search_engine::measure(
    query_state& query, const shard_reply& reply, ordinal owner)
{
    auto now = time_.now();
    auto took = now - query.sent[reply.attempt - 1];
    snapshots_.on_range(reply.group, reply.served_snapshots);
    owners_.on_heard(owner, now);
    note_delay(query, reply);
    if (reply.state.result != outcome::ran)
        return;
    fastest_.on_answer(reply.group, took, now);
    // With a retry or a hedge the two times don't add up to the whole.
    if (reply.sub_requests_sent == 1)
        owners_.on_overhead(
            owner, took - reply.queue_delay - reply.service_time);
}

void search_engine::note_delay(query_state& query, const shard_reply& reply)
{
    auto work = query.request.request_rank;
    auto why = reply.state.why;
    auto refused = reply.state.result == outcome::not_run &&
                   (why == reason::queue_full || why == reason::queue_deadline);
    if (!refused && !admission_.delayed(work, reply.queue_delay))
        return;
    ++query.delayed_parts;
    if (query.congested ||
        query.delayed_parts * congested_part_share <= query.parts.size())
        return;
    query.congested = true;
    admission_.on_congested(work, query.admitted, time_.now());
}

void search_engine::on_part_answered(
    query_state& query, part& of, const shard_reply& reply)
{
    if (reply.epoch != of.epoch)
    {
        of.may_have_run = true;
        of.why = reason::epoch_mismatch;
        count_drop(reason::epoch_mismatch, query.request.request_rank);
        if (!of.waiting())
            query.fail(of, reason::epoch_mismatch);
        return;
    }
    if (query.snapshot == 0)
        query.snapshot = reply.snapshot;
    if (reply.snapshot == query.snapshot)
        return query.take_answer(of, reply);
    of.may_have_run = true;
    count_drop(reason::snapshot_mismatch, query.request.request_rank);
    on_snapshot_lost(query, of, reason::snapshot_mismatch);
}

void search_engine::on_part_failed(
    query_state& query, part& of, const shard_reply& reply)
{
    auto why = reply.state.why;
    of.may_have_run |= reply.state.result == outcome::may_have_run;
    of.why = why;
    count_drop(why, query.request.request_rank);
    if (why == reason::snapshot_gone)
        return on_snapshot_lost(query, of, why);
    if (of.waiting())
        return;
    if (!other_owner_may_help(why))
        return query.fail(of, why);
    part* again[] = {&of};
    resend(query, again, why);
}

/** A part didn't come from the pinned snapshot: asks for it again if all groups
    are known to serve that snapshot, otherwise for all parts from another one,
    or goes on without this part; each once. */
void search_engine::on_snapshot_lost(query_state& query, part& of, reason why)
{
    if (!query.repinned && repin(query))
        return;
    of.why = why;
    if (of.waiting() || ask_again(query, of))
        return;
    query.fail(of, why);
}

bool search_engine::ask_again(query_state& query, part& of)
{
    auto late = query.request.deadline - time_.now() < shortest_retry;
    if (late || of.asked_again || newest_common(query) != query.snapshot)
        return false;
    of.asked_again = true;
    of.next_candidate = 0;
    if (listener_ != nullptr)
        listener_->on_retry(
            reason::snapshot_mismatch, query.request.request_rank);
    part* again[] = {&of};
    send(query, again);
    return true;
}

/** The newest snapshot that all groups of a query are known to serve. */
std::uint64_t search_engine::newest_common(const query_state& query) const
{
    std::vector<const service_map*> services;
    for (auto it : query.request.services)
        services.push_back(query.pinned->content->find_service(it));
    return snapshots_.pin(services);
}

bool search_engine::repin(query_state& query)
{
    if (query.request.deadline - time_.now() < shortest_retry)
        return false;
    auto newest = newest_common(query);
    // Asking again for the same snapshot would drop the replies that are there.
    if (newest == 0 || newest == query.snapshot)
        return false;
    cancel_waiting(query);
    query.restart(newest);
    if (listener_ != nullptr)
        listener_->on_retry(reason::snapshot_gone, query.request.request_rank);
    std::vector<part*> all;
    all.reserve(query.parts.size());
    for (auto& it : query.parts)
        all.push_back(&it);
    send(query, all);
    return true;
}

void search_engine::on_owner_lost(ordinal owner)
{
    owners_.forget(owner);
    std::vector<std::uint64_t> running;
    running.reserve(queries_.size());
    for (const auto& it : queries_)
        running.push_back(it.first);
    for (auto it : running)
    {
        auto& query = *queries_.at(it);
        std::vector<part*> again;
        for (auto& one : query.parts)
        {
            auto lost = false;
            for (std::size_t n = 0; n < one.sending_count; ++n)
            {
                auto& asked = one.sendings[n];
                if (!asked.open || asked.owner != owner)
                    continue;
                asked.open = false;
                lost = true;
            }
            if (!lost || one.done())
                continue;
            one.may_have_run = true;
            one.why = reason::owner_lost;
            if (!one.waiting())
                again.push_back(&one);
        }
        if (again.empty())
            continue;
        resend(query, again, reason::owner_lost);
        finish_if_complete(query);
    }
    drop_stale_timers();
}

/** Asks the next candidates if there is time, else gives the parts up. */
void search_engine::resend(
    query_state& query, std::span<part* const> parts, reason why)
{
    if (query.request.deadline - time_.now() < shortest_retry)
    {
        for (auto* it : parts)
            give_up_unsent(query, *it);
        return;
    }
    if (listener_ != nullptr)
        listener_->on_retry(why, query.request.request_rank);
    send(query, parts);
}

/** Sends parts whose owner has been silent since to the next candidate. An
    owner that sends replies to other work is not cut off; it retries itself,
    and a second owner would only add load. */
void search_engine::check_owners(query_state& query)
{
    auto now = time_.now();
    std::vector<part*> again;
    for (auto& it : query.parts)
    {
        if (it.done() || it.sending_count == 0)
            continue;
        const auto& last = it.sendings[it.sending_count - 1];
        auto sent = query.sent[last.attempt - 1];
        auto heard = owners_.heard_since(last.owner, sent);
        if (last.open && sent <= query.check_until && !heard)
            again.push_back(&it);
    }
    query.check_until = now;
    if (!again.empty())
        resend(query, again, reason::attempt_timeout);
}

void search_engine::on_caller_gone(query_id id)
{
    auto found = queries_.find(id.counter);
    if (id.nonce != nonce_ || found == queries_.end())
        return;
    cancel_waiting(*found->second);
    admission_.leave(found->second->request.request_rank);
    queries_.erase(found);
    drop_stale_timers();
}

void search_engine::on_timer()
{
    auto now = time_.now();
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
    if (query.complete())
        finish(query, false);
}

void search_engine::finish(query_state& query, bool at_deadline)
{
    auto work = query.request.request_rank;
    cancel_waiting(query);
    auto answer = query.make_answer(at_deadline);
    if (!query.congested && answer.state.result == outcome::ran)
        admission_.on_uncongested(work);
    admission_.leave(work);
    if (answer.state.result != outcome::ran)
        count_drop(answer.state.why, work);
    queries_.erase(query.id.counter);
    actions_.finish(answer);
}

void search_engine::cancel_waiting(const query_state& query)
{
    for (auto it : query.waiting_owners())
        actions_.send_cancel(it, query.id);
}

/** Sets the query's only timer: the next owner check, or the deadline. */
void search_engine::set_timer(const query_state& query, time_point now)
{
    auto left = query.request.deadline - now;
    auto check = std::chrono::duration_cast<duration>(
        owner_silence_share * std::chrono::duration<double>(left));
    auto last = left - check < shortest_retry;
    timers_.push(last ? query.request.deadline : now + check, query.id.counter);
}

void search_engine::drop_stale_timers()
{
    while (!timers_.empty() && !queries_.contains(timers_.first()))
        timers_.pop();
}

void search_engine::count_drop(reason why, rank work)
{
    if (listener_ != nullptr)
        listener_->on_refusal(why, work);
}

} // namespace turmericlane
