#include "answer_checker.h"

#include <standins/hits.h>

#include <cmath>

namespace turmericlane::load
{

using json = nlohmann::json;
namespace standins = turmericlane::standins;

namespace
{

void add_violation(checked_answer& result, violation kind, std::string detail)
{
    result.violations.push_back({kind, std::move(detail)});
}

/** Reads the verdict and reason of a reply; adds a violation if one is missing
    or unknown. */
void read_verdict(const json& answer, checked_answer& result)
{
    if (!answer.contains("verdict") || !answer.contains("reason") ||
        !answer["verdict"].is_string() || !answer["reason"].is_string())
        return add_violation(
            result, violation::malformed, "no verdict or reason");
    result.verdict = answer["verdict"].get<std::string>();
    result.reason = answer["reason"].get<std::string>();
    if (result.verdict != "ran" && result.verdict != "not_run" &&
        result.verdict != "may_have_run")
        add_violation(
            result, violation::malformed, "verdict " + result.verdict);
}

} // namespace

answer_checker::answer_checker(const bundle& configuration)
    : bundle_(configuration)
{
}

checked_answer answer_checker::check(
    const arrival& request,
    const std::string& request_id,
    const std::string& body) const
{
    checked_answer result;
    auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object())
    {
        add_violation(
            result, violation::malformed,
            "not an object: " + body.substr(0, 80));
        return result;
    }
    read_verdict(answer, result);
    auto stated_id = answer.value("request_id", json());
    auto is_missing = !stated_id.is_string() ||
                      stated_id.get_ref<const std::string&>().empty();
    if (stated_id != request_id)
        add_violation(
            result, is_missing ? violation::malformed : violation::wrong_answer,
            "request id " + stated_id.dump() + " in place of " + request_id +
                ", " + result.verdict + '/' + result.reason);
    // Sub-requests may have been sent for any search that is not not_run.
    if (result.verdict != "not_run")
        for (const auto& it : request.services)
            result.groups_needed += bundle_.find_service(it)->groups.size();
    if (result.verdict != "ran")
        return result;
    try
    {
        group_positions positions;
        check_hits(request, answer, positions, result);
        check_coverage(request, answer, positions, result);
        result.sub_requests_sent =
            answer.at("sub_requests_sent").get<std::uint64_t>();
    }
    catch (const json::exception& ex)
    {
        add_violation(result, violation::malformed, ex.what());
    }
    return result;
}

void answer_checker::check_hits(
    const arrival& request,
    const json& answer,
    group_positions& positions,
    checked_answer& result) const
{
    auto snapshot = answer.at("snapshot").get<std::uint64_t>();
    result.snapshot = snapshot;
    auto previous_score = HUGE_VAL;
    for (const auto& it : answer.at("hits"))
    {
        auto id = it.at("id").get<std::string>();
        auto score = it.at("score").get<double>();
        auto origin = standins::parse_hit_id(id);
        if (!origin)
        {
            add_violation(result, violation::wrong_answer, "unknown hit " + id);
            continue;
        }
        if (origin->snapshot != snapshot)
            add_violation(
                result, violation::mixed_snapshots,
                id + " in an answer of snapshot " + std::to_string(snapshot));
        auto expected_hit = standins::make_hit(
            request.text, origin->snapshot, origin->service, origin->partition,
            origin->position);
        if (expected_hit.id != id ||
            std::abs(expected_hit.score - score) > 1e-9)
            add_violation(
                result, violation::wrong_answer, "hit of another query " + id);
        auto position_bit = 1U << (origin->position % 32);
        auto& seen_mask = positions[{origin->service, origin->partition}];
        if ((seen_mask & position_bit) != 0 || score > previous_score)
            add_violation(
                result, violation::wrong_answer, "repeated or unsorted " + id);
        seen_mask |= position_bit;
        previous_score = score;
    }
}

void answer_checker::check_coverage(
    const arrival& request,
    const json& answer,
    const group_positions& positions,
    checked_answer& result) const
{
    constexpr auto complete_group_mask = (1U << standins::hits_per_group) - 1;
    std::map<std::string, std::uint64_t> shown_groups;
    for (const auto& [group, seen_mask] : positions)
    {
        ++shown_groups[group.first];
        if (seen_mask != complete_group_mask)
            add_violation(
                result, violation::wrong_answer,
                "hits are missing of group " + group.first + '/' +
                    std::to_string(group.second));
    }
    const auto& coverage = answer.at("coverage");
    std::uint64_t answered_groups = 0;
    std::uint64_t stated_groups = 0;
    for (const auto& name : request.services)
    {
        const auto& stated_coverage = coverage.at("services").at(name);
        auto answered_in_service =
            stated_coverage.at("answered").get<std::uint64_t>();
        auto total_in_service =
            stated_coverage.at("total").get<std::uint64_t>();
        answered_groups += answered_in_service;
        stated_groups += total_in_service;
        if (total_in_service != bundle_.find_service(name)->groups.size())
            add_violation(
                result, violation::wrong_coverage,
                name + " has a total of " + std::to_string(total_in_service));
        if (answered_in_service != shown_groups[name])
            add_violation(
                result, violation::wrong_coverage,
                name + " states " + std::to_string(answered_in_service) +
                    ", hits show " + std::to_string(shown_groups[name]));
    }
    if (coverage.at("services").size() != request.services.size())
        add_violation(
            result, violation::wrong_coverage, "another set of services");
    result.coverage = coverage.at("overall").get<double>();
    auto expected_coverage = static_cast<double>(answered_groups) /
                             static_cast<double>(stated_groups);
    if (std::abs(result.coverage - expected_coverage) > 1e-3)
        add_violation(
            result, violation::wrong_coverage,
            "overall " + std::to_string(result.coverage) + ", groups give " +
                std::to_string(expected_coverage));
}

} // namespace turmericlane::load
