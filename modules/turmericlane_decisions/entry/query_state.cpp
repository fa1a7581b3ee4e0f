#include "query_state.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

bool query_state::part::waiting() const noexcept
{
    for (std::size_t n = 0; n < sending_count; ++n)
        if (sendings[n].open)
            return true;
    return false;
}

query_state::sending* query_state::part::find(std::uint32_t attempt) noexcept
{
    for (std::size_t n = 0; n < sending_count; ++n)
        if (sendings[n].attempt == attempt)
            return &sendings[n];
    return nullptr;
}

query_state::query_state(
    query_id of,
    const search_request& asked,
    std::shared_ptr<const pinned_bundle> on,
    std::span<const service_map* const> services,
    time_point now)
    : id(of)
    , request(asked)
    , pinned(std::move(on))
    , admitted(now)
    , check_until(now)
    , merge_(asked.limit)
{
    std::size_t total = 0;
    for (const auto* it : services)
        total += it->groups.size();
    parts.reserve(total);
    for (const auto* it : services)
    {
        auto position = static_cast<std::uint32_t>(first_parts_.size());
        first_parts_.push_back(parts.size());
        coverage_.add_service(*it);
        for (std::uint32_t n = 0; n < it->groups.size(); ++n)
        {
            auto& made = parts.emplace_back();
            made.group = {it->id, n};
            made.epoch = it->epoch;
            made.service_position = position;
        }
    }
}

query_state::part* query_state::find_part(group_id wanted) noexcept
{
    const auto& services = coverage_.services();
    for (std::size_t n = 0; n < services.size(); ++n)
    {
        if (services[n].service != wanted.service)
            continue;
        if (wanted.partition >= services[n].total_groups)
            return nullptr;
        return &parts[first_parts_[n] + wanted.partition];
    }
    return nullptr;
}

void query_state::take_answer(part& of, const shard_reply& reply)
{
    assert(!of.done());
    of.answered = true;
    ++parts_done_;
    sub_requests_sent_ += reply.sub_requests_sent;
    coverage_.on_answered(of.service_position);
    merge_.add(of.group, reply.hits);
}

void query_state::fail(part& of, reason why)
{
    assert(!of.done());
    of.failed = true;
    of.why = why;
    ++parts_done_;
}

void query_state::restart(std::uint64_t other_snapshot)
{
    repinned = true;
    snapshot = other_snapshot;
    stale_attempts = static_cast<std::uint32_t>(sent.size());
    parts_done_ = 0;
    delayed_parts = 0;
    coverage_.clear_answers();
    merge_.clear();
    for (auto& it : parts)
    {
        it.may_have_run |= it.answered || it.waiting();
        it.answered = false;
        it.failed = false;
        it.next_candidate = 0;
        it.sending_count = 0;
        it.why = reason::none;
    }
}

std::vector<ordinal> query_state::waiting_owners() const
{
    std::vector<ordinal> owners;
    for (const auto& it : parts)
        for (std::size_t n = 0; n < it.sending_count; ++n)
            if (it.sendings[n].open)
                owners.push_back(it.sendings[n].owner);
    std::sort(owners.begin(), owners.end());
    owners.erase(std::unique(owners.begin(), owners.end()), owners.end());
    return owners;
}

reason query_state::missing() const
{
    std::array<std::size_t, 256> counts{};
    auto most = reason::none;
    std::size_t most_count = 0;
    for (const auto& it : parts)
    {
        if (it.answered)
            continue;
        auto why = it.failed ? it.why : reason::deadline_reached;
        auto count = ++counts[static_cast<std::size_t>(why)];
        if (count <= most_count)
            continue;
        most = why;
        most_count = count;
    }
    return most;
}

search_answer query_state::make_answer(bool at_deadline)
{
    search_answer made;
    made.id = id;
    made.caller_request_id = request.caller_request_id;
    made.state = final_verdict(at_deadline);
    made.snapshot = snapshot;
    made.bundle_version = pinned->content->version;
    made.coverage = coverage_.services();
    made.sub_requests_sent = sub_requests_sent_;
    made.missing_reason = missing();
    if (made.state.result == outcome::ran)
        made.hits = merge_.take();
    return made;
}

verdict query_state::final_verdict(bool at_deadline) const
{
    auto least = pinned->content->policy.min_coverage;
    auto answered = coverage_.answered();
    if (answered > 0 && coverage_.overall() >= least)
        return verdict::success();
    auto may_have_run = answered > 0;
    for (const auto& it : parts)
        may_have_run |= it.may_have_run || it.waiting();
    if (!may_have_run)
        return verdict::refused(missing());
    return verdict::unknown(at_deadline ? reason::deadline_reached : missing());
}

} // namespace turmericlane
