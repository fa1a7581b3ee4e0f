#include "answer_checker.h"

#include "../driver/draw.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <numeric>

namespace turmericlane::bench
{
namespace
{

// Time after which a leaving server gets no new work (promise 6).
constexpr duration leaving_limit = std::chrono::seconds(3);

std::uint64_t mask_of(group_id id)
{
    return std::uint64_t{1} << bit_of(id);
}

std::uint64_t mask_of_service(std::uint32_t service)
{
    return std::uint64_t{0xffff} << (service * max_partitions);
}

std::uint64_t hash_hits(const std::vector<hit>& hits)
{
    std::uint64_t made = 0;
    for (const auto& it : hits)
        made =
            XXH3_64bits_withSeed(it.document.data(), it.document.size(), made);
    return made;
}

} // namespace

answer_checker::answer_checker(std::size_t count)
    : records_(count)
    , evidence_(count)
{
}

void answer_checker::on_bundle(
    const std::shared_ptr<const bundle>& of, time_point now)
{
    bundles_.emplace(of->version, of);
    for (const auto& service : of->services)
        for (const auto& in : service.groups)
            for (const auto& it : in.searchers)
                if (it.leaving)
                    leaving_since_.emplace(it.id, now);
}

void answer_checker::on_query(std::uint64_t query, rank work, time_point now)
{
    auto& of = records_.at(query);
    of.work = work;
    of.sent = now;
}

answer_checker::evidence& answer_checker::evidence_of(std::uint64_t query)
{
    auto& found = evidence_.at(query);
    if (found == nullptr)
        found = std::make_unique<evidence>();
    return *found;
}

void answer_checker::on_batch(const search_batch& batch)
{
    auto query = query_number(batch.query);
    if (records_.at(query).is_finished)
        return;
    auto& known = evidence_of(query);
    for (const auto& it : batch.parts)
        known.last_asked[bit_of(it.group)] = batch.attempt;
}

void answer_checker::on_entry_reply(
    std::uint64_t query, const shard_reply& reply)
{
    if (reply.state.result != outcome::ran || records_.at(query).is_finished)
        return;
    evidence_of(query).entry_replies.push_back(
        {reply.group, reply.attempt, reply.snapshot, reply.epoch});
}

void answer_checker::on_sub_request(
    const backend_request& request, time_point now)
{
    auto& of = records_.at(query_number(request.query));
    ++of.sub_requests;
    of.asked |= mask_of(request.group);
    auto found = leaving_since_.find(request.server);
    if (found != leaving_since_.end() && now > found->second + leaving_limit)
        count(violation::leaving_server);
}

void answer_checker::on_slot(std::uint64_t query)
{
    auto& of = records_.at(query);
    if (of.is_finished && of.state.result == outcome::not_run &&
        !of.reached_slot)
        count(violation::not_run_reached_slot);
    of.reached_slot = true;
}

std::uint64_t answer_checker::next_attempt(std::uint64_t query, group_id group)
{
    return evidence_of(query).attempts[bit_of(group)]++;
}

void answer_checker::on_server_reply(
    std::uint64_t query,
    group_id group,
    std::uint64_t snapshot,
    std::uint64_t epoch)
{
    if (!records_.at(query).is_finished)
        evidence_of(query).server_replies.push_back(
            {query, snapshot, epoch, group});
}

void answer_checker::on_connection(
    std::uint32_t connections, std::uint32_t limit)
{
    if (connections > limit)
        count(violation::connection_limit);
}

void answer_checker::on_finish(const search_answer& answer, time_point now)
{
    auto query = query_number(answer.caller_request_id);
    auto& of = records_.at(query);
    if (of.is_finished)
    {
        count(violation::finished_twice);
        return;
    }
    of.is_finished = true;
    of.finished = now;
    of.state = answer.state;
    of.coverage = answer.overall_coverage();
    of.by_service = answer.coverage;
    of.hits_hash = hash_hits(answer.hits);
    if (answer.state.result == outcome::ran)
        check_ran(answer, of);
    if (answer.state.result == outcome::not_run && of.reached_slot)
        count(violation::not_run_reached_slot);
    if (evidence_[query] == nullptr)
        return;
    evidence_[query]->server_replies = {};
    evidence_[query]->entry_replies = {};
}

void answer_checker::on_end()
{
    for (const auto& it : records_)
        if (!it.is_finished)
            count(violation::never_finished);
}

std::uint64_t answer_checker::total_violations() const noexcept
{
    return std::accumulate(
        violations_.begin(), violations_.end(), std::uint64_t{0});
}

void answer_checker::count(violation kind)
{
    ++violations_[static_cast<std::size_t>(kind)];
}

void answer_checker::check_ran(
    const search_answer& answer, const query_record& of)
{
    auto found = bundles_.find(answer.bundle_version);
    if (found == bundles_.end())
    {
        count(violation::wrong_coverage);
        return;
    }
    const auto& pinned = *found->second;
    auto hit_groups = check_hits(answer, pinned);
    check_coverage(answer, pinned, of, hit_groups);
    check_replies_used(answer, pinned, hit_groups);
}

std::uint64_t
answer_checker::check_hits(const search_answer& answer, const bundle& pinned)
{
    auto query = query_number(answer.caller_request_id);
    std::uint64_t groups = 0;
    bool mixed = false;
    bool foreign = false;
    for (const auto& it : answer.hits)
    {
        auto one = parse_document(it.document);
        if (!one || one->query != query || !from_server(*one) ||
            pinned.find_group(one->group) == nullptr ||
            (groups & mask_of(one->group)) != 0)
        {
            foreign = true;
            continue;
        }
        groups |= mask_of(one->group);
        mixed = mixed || one->snapshot != answer.snapshot ||
                one->epoch != pinned.find_service(one->group.service)->epoch;
    }
    if (mixed)
        count(violation::mixed_answer);
    if (foreign)
        count(violation::foreign_hit);
    return groups;
}

bool answer_checker::from_server(const document& one)
{
    const auto& known = evidence_of(one.query).server_replies;
    return std::find(known.begin(), known.end(), one) != known.end();
}

void answer_checker::check_coverage(
    const search_answer& answer,
    const bundle& pinned,
    const query_record& of,
    std::uint64_t hit_groups)
{
    auto wanted = services_of(of.work);
    bool wrong = answer.coverage.size() != wanted.size();
    for (const auto& it : answer.coverage)
    {
        const auto* service = pinned.find_service(it.service);
        auto asked =
            std::find(wanted.begin(), wanted.end(), it.service) != wanted.end();
        if (!asked)
        {
            wrong = true;
            break;
        }
        auto covered = static_cast<std::uint32_t>(
            std::popcount(hit_groups & mask_of_service(it.service)));
        wrong = wrong || service == nullptr ||
                it.total_groups != service->groups.size() ||
                it.answered_groups != covered;
    }
    if (wrong)
        count(violation::wrong_coverage);
}

void answer_checker::check_replies_used(
    const search_answer& answer, const bundle& pinned, std::uint64_t hit_groups)
{
    const auto& known = evidence_of(query_number(answer.caller_request_id));
    for (const auto& it : known.entry_replies)
    {
        const auto* service = pinned.find_service(it.group.service);
        if (service == nullptr || it.snapshot != answer.snapshot ||
            it.epoch != service->epoch ||
            it.attempt != known.last_asked[bit_of(it.group)])
            continue;
        if ((hit_groups & mask_of(it.group)) != 0)
            continue;
        count(violation::wrong_coverage);
        return;
    }
}

} // namespace turmericlane::bench
