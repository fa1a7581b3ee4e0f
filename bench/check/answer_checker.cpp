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

// Time after which a leaving server gets no new requests (guarantee 6).
constexpr duration leaving_limit = std::chrono::seconds(3);

std::uint64_t group_mask(group_id id)
{
    return std::uint64_t{1} << group_bit(id);
}

std::uint64_t service_mask(std::uint32_t service)
{
    return std::uint64_t{0xffff} << (service * max_partitions);
}

std::uint64_t hash_hits(const std::vector<hit>& hits)
{
    std::uint64_t hash = 0;
    for (const auto& it : hits)
        hash =
            XXH3_64bits_withSeed(it.document.data(), it.document.size(), hash);
    return hash;
}

} // namespace

answer_checker::answer_checker(std::size_t query_count)
    : records_(query_count)
    , query_events_(query_count)
{
}

void answer_checker::on_bundle(
    const std::shared_ptr<const bundle>& new_bundle, time_point now)
{
    bundles_.emplace(new_bundle->version, new_bundle);
    for (const auto& service : new_bundle->services)
        for (const auto& searcher_group : service.groups)
            for (const auto& it : searcher_group.searchers)
                if (it.leaving)
                    leaving_since_.emplace(it.id, now);
}

void answer_checker::on_query(
    std::uint64_t query, rank query_rank, time_point now)
{
    auto& record = records_.at(query);
    record.query_rank = query_rank;
    record.send_time = now;
}

answer_checker::query_events&
answer_checker::find_or_add_events(std::uint64_t query)
{
    auto& entry = query_events_.at(query);
    if (entry == nullptr)
        entry = std::make_unique<query_events>();
    return *entry;
}

void answer_checker::on_batch(const search_batch& batch)
{
    auto query = query_number(batch.query);
    if (records_.at(query).is_finished)
        return;
    auto& known_events = find_or_add_events(query);
    for (const auto& it : batch.parts)
        known_events.last_attempts[group_bit(it.group)] = batch.attempt;
}

void answer_checker::on_entry_reply(
    std::uint64_t query, const shard_reply& reply)
{
    if (reply.state.result != outcome::ran || records_.at(query).is_finished)
        return;
    find_or_add_events(query).entry_replies.push_back(
        {reply.group, reply.attempt, reply.snapshot, reply.epoch});
}

void answer_checker::on_sub_request(
    const backend_request& request, time_point now)
{
    auto& record = records_.at(query_number(request.query));
    ++record.sub_requests;
    record.requested_groups |= group_mask(request.group);
    auto found = leaving_since_.find(request.server);
    if (found != leaving_since_.end() && now > found->second + leaving_limit)
        count_violation(violation::leaving_server);
}

void answer_checker::on_slot(std::uint64_t query)
{
    auto& record = records_.at(query);
    if (record.is_finished && record.state.result == outcome::not_run &&
        !record.has_reached_slot)
        count_violation(violation::not_run_reached_slot);
    record.has_reached_slot = true;
}

std::uint64_t answer_checker::next_attempt(std::uint64_t query, group_id group)
{
    return find_or_add_events(query).attempt_counts[group_bit(group)]++;
}

void answer_checker::on_server_reply(
    std::uint64_t query,
    group_id group,
    std::uint64_t snapshot,
    std::uint64_t epoch)
{
    if (!records_.at(query).is_finished)
        find_or_add_events(query).server_replies.push_back(
            {query, snapshot, epoch, group});
}

void answer_checker::on_connection(
    std::uint32_t connections, std::uint32_t limit)
{
    if (connections > limit)
        count_violation(violation::connection_limit);
}

void answer_checker::on_finish(const search_answer& answer, time_point now)
{
    auto query = query_number(answer.caller_request_id);
    auto& record = records_.at(query);
    if (record.is_finished)
    {
        count_violation(violation::finished_twice);
        return;
    }
    record.is_finished = true;
    record.finish_time = now;
    record.state = answer.state;
    record.coverage = answer.overall_coverage();
    record.service_coverages = answer.coverage;
    record.hits_hash = hash_hits(answer.hits);
    if (answer.state.result == outcome::ran)
        check_answer(answer, record);
    if (answer.state.result == outcome::not_run && record.has_reached_slot)
        count_violation(violation::not_run_reached_slot);
    if (query_events_[query] == nullptr)
        return;
    query_events_[query]->server_replies = {};
    query_events_[query]->entry_replies = {};
}

void answer_checker::on_end()
{
    for (const auto& it : records_)
        if (!it.is_finished)
            count_violation(violation::never_finished);
}

std::uint64_t answer_checker::total_violations() const noexcept
{
    return std::accumulate(
        violations_.begin(), violations_.end(), std::uint64_t{0});
}

void answer_checker::count_violation(violation kind)
{
    ++violations_[static_cast<std::size_t>(kind)];
}

void answer_checker::check_answer(
    const search_answer& answer, const query_record& record)
{
    auto found = bundles_.find(answer.bundle_version);
    if (found == bundles_.end())
    {
        count_violation(violation::wrong_coverage);
        return;
    }
    const auto& configuration = *found->second;
    auto hit_groups = check_hits(answer, configuration);
    check_coverage(answer, configuration, record, hit_groups);
    check_replies_used(answer, configuration, hit_groups);
}

std::uint64_t answer_checker::check_hits(
    const search_answer& answer, const bundle& configuration)
{
    auto query = query_number(answer.caller_request_id);
    std::uint64_t groups = 0;
    bool is_mixed = false;
    bool is_foreign = false;
    for (const auto& it : answer.hits)
    {
        auto origin = parse_document(it.document);
        if (!origin || origin->query != query || !is_sent_by_server(*origin) ||
            configuration.find_group(origin->group) == nullptr ||
            (groups & group_mask(origin->group)) != 0)
        {
            is_foreign = true;
            continue;
        }
        groups |= group_mask(origin->group);
        is_mixed = is_mixed || origin->snapshot != answer.snapshot ||
                   origin->epoch !=
                       configuration.find_service(origin->group.service)->epoch;
    }
    if (is_mixed)
        count_violation(violation::mixed_answer);
    if (is_foreign)
        count_violation(violation::foreign_hit);
    return groups;
}

bool answer_checker::is_sent_by_server(const document& origin)
{
    const auto& replies = find_or_add_events(origin.query).server_replies;
    return std::find(replies.begin(), replies.end(), origin) != replies.end();
}

void answer_checker::check_coverage(
    const search_answer& answer,
    const bundle& configuration,
    const query_record& record,
    std::uint64_t hit_groups)
{
    auto expected_services = services_for_rank(record.query_rank);
    bool is_wrong = answer.coverage.size() != expected_services.size();
    for (const auto& it : answer.coverage)
    {
        const auto* service = configuration.find_service(it.service);
        auto is_expected =
            std::find(
                expected_services.begin(), expected_services.end(),
                it.service) != expected_services.end();
        if (!is_expected)
        {
            is_wrong = true;
            break;
        }
        auto covered_groups = static_cast<std::uint32_t>(
            std::popcount(hit_groups & service_mask(it.service)));
        is_wrong = is_wrong || service == nullptr ||
                   it.total_groups != service->groups.size() ||
                   it.answered_groups != covered_groups;
    }
    if (is_wrong)
        count_violation(violation::wrong_coverage);
}

void answer_checker::check_replies_used(
    const search_answer& answer,
    const bundle& configuration,
    std::uint64_t hit_groups)
{
    const auto& known_events =
        find_or_add_events(query_number(answer.caller_request_id));
    for (const auto& it : known_events.entry_replies)
    {
        const auto* service = configuration.find_service(it.group.service);
        if (service == nullptr || it.snapshot != answer.snapshot ||
            it.epoch != service->epoch ||
            it.attempt != known_events.last_attempts[group_bit(it.group)])
            continue;
        if ((hit_groups & group_mask(it.group)) != 0)
            continue;
        count_violation(violation::wrong_coverage);
        return;
    }
}

} // namespace turmericlane::bench
