#include "query_state.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

bool query_state::part::is_pending() const noexcept
{
    for (std::size_t n = 0; n < request_count; ++n)
        if (owner_requests[n].is_pending)
            return true;
    return false;
}

query_state::owner_request*
query_state::part::find_request(std::uint32_t attempt) noexcept
{
    for (std::size_t n = 0; n < request_count; ++n)
        if (owner_requests[n].attempt == attempt)
            return &owner_requests[n];
    return nullptr;
}

query_state::query_state(
    query_id new_id,
    const search_request& search,
    std::shared_ptr<const pinned_bundle> initial_bundle,
    std::span<const service_map* const> services,
    time_point now)
    : id(new_id)
    , request(search)
    , own_bundle(std::move(initial_bundle))
    , admission_time(now)
    , last_owner_check(now)
    , merger_(search.limit)
{
    std::size_t group_count = 0;
    for (const auto* it : services)
        group_count += it->groups.size();
    parts.reserve(group_count);
    for (const auto* it : services)
    {
        auto service_index = static_cast<std::uint32_t>(first_parts_.size());
        first_parts_.push_back(parts.size());
        coverage_.add_service(*it);
        for (std::uint32_t n = 0; n < it->groups.size(); ++n)
        {
            auto& sub_request = parts.emplace_back();
            sub_request.group = {it->id, n};
            sub_request.epoch = it->epoch;
            sub_request.service_index = service_index;
        }
    }
}

query_state::part* query_state::find_part(group_id target_group) noexcept
{
    const auto& services = coverage_.services();
    for (std::size_t n = 0; n < services.size(); ++n)
    {
        if (services[n].service != target_group.service)
            continue;
        if (target_group.partition >= services[n].total_groups)
            return nullptr;
        return &parts[first_parts_[n] + target_group.partition];
    }
    return nullptr;
}

void query_state::add_answer(part& sub_request, const shard_reply& reply)
{
    assert(!sub_request.is_done());
    sub_request.is_answered = true;
    ++done_parts_;
    sub_requests_sent_ += reply.sub_requests_sent;
    coverage_.add_answer(sub_request.service_index);
    merger_.add(sub_request.group, reply.hits);
}

void query_state::fail(part& sub_request, reason cause)
{
    assert(!sub_request.is_done());
    sub_request.has_failed = true;
    sub_request.failure_reason = cause;
    ++done_parts_;
}

void query_state::restart(std::uint64_t new_snapshot)
{
    is_restarted = true;
    snapshot = new_snapshot;
    last_stale_attempt = static_cast<std::uint32_t>(send_times.size());
    done_parts_ = 0;
    delayed_parts = 0;
    coverage_.clear_answers();
    merger_.clear();
    for (auto& it : parts)
    {
        it.may_have_run |= it.is_answered || it.is_pending();
        it.is_answered = false;
        it.has_failed = false;
        it.next_candidate = 0;
        it.request_count = 0;
        it.failure_reason = reason::none;
    }
}

std::vector<ordinal> query_state::pending_owners() const
{
    std::vector<ordinal> owners;
    for (const auto& it : parts)
        for (std::size_t n = 0; n < it.request_count; ++n)
            if (it.owner_requests[n].is_pending)
                owners.push_back(it.owner_requests[n].owner);
    std::sort(owners.begin(), owners.end());
    owners.erase(std::unique(owners.begin(), owners.end()), owners.end());
    return owners;
}

reason query_state::missing_reason() const
{
    std::array<std::size_t, 256> counts{};
    auto most_frequent = reason::none;
    std::size_t max_count = 0;
    for (const auto& it : parts)
    {
        if (it.is_answered)
            continue;
        auto cause =
            it.has_failed ? it.failure_reason : reason::deadline_reached;
        auto count = ++counts[static_cast<std::size_t>(cause)];
        if (count <= max_count)
            continue;
        most_frequent = cause;
        max_count = count;
    }
    return most_frequent;
}

search_answer query_state::make_answer(bool is_at_deadline)
{
    search_answer answer;
    answer.id = id;
    answer.caller_request_id = request.caller_request_id;
    answer.state = final_verdict(is_at_deadline);
    answer.snapshot = snapshot;
    answer.bundle_version = own_bundle->content->version;
    answer.coverage = coverage_.services();
    answer.sub_requests_sent = sub_requests_sent_;
    answer.missing_reason = missing_reason();
    if (answer.state.result == outcome::ran)
        answer.hits = merger_.take_hits();
    return answer;
}

verdict query_state::final_verdict(bool is_at_deadline) const
{
    auto min_coverage = own_bundle->content->policy.min_coverage;
    auto answered_groups = coverage_.answered_groups();
    if (answered_groups > 0 && coverage_.overall_coverage() >= min_coverage)
        return verdict::success();
    auto may_have_run = answered_groups > 0;
    for (const auto& it : parts)
        may_have_run |= it.may_have_run || it.is_pending();
    if (!may_have_run)
        return verdict::refused(missing_reason());
    return verdict::unknown(
        is_at_deadline ? reason::deadline_reached : missing_reason());
}

} // namespace turmericlane
