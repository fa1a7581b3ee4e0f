#include "answer_check.h"

#include <standins/hits.h>

#include <cmath>

namespace turmericlane::load
{

using json = nlohmann::json;
namespace standins = turmericlane::standins;

namespace
{

void add(checked_answer& to, violation kind, std::string detail)
{
    to.violations.push_back({kind, std::move(detail)});
}

/** Returns the verdict and reason of a reply; reports what is missing. */
void read_verdict(const json& answer, checked_answer& made)
{
    if (!answer.contains("verdict") || !answer.contains("reason") ||
        !answer["verdict"].is_string() || !answer["reason"].is_string())
        return add(made, violation::malformed, "no verdict or reason");
    made.verdict = answer["verdict"].get<std::string>();
    made.reason = answer["reason"].get<std::string>();
    if (made.verdict != "ran" && made.verdict != "not_run" &&
        made.verdict != "may_have_run")
        add(made, violation::malformed, "verdict " + made.verdict);
}

} // namespace

answer_check::answer_check(const bundle& from)
    : bundle_(from)
{
}

checked_answer answer_check::check(
    const arrival& asked,
    const std::string& request_id,
    const std::string& body) const
{
    checked_answer made;
    auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object())
    {
        add(made, violation::malformed, "not an object: " + body.substr(0, 80));
        return made;
    }
    read_verdict(answer, made);
    auto stated = answer.value("request_id", json());
    auto missing =
        !stated.is_string() || stated.get_ref<const std::string&>().empty();
    if (stated != request_id)
        add(made, missing ? violation::malformed : violation::wrong_answer,
            "request id " + stated.dump() + " in place of " + request_id +
                ", " + made.verdict + '/' + made.reason);
    // A refused search may have been sent too, unless it is not_run.
    if (made.verdict != "not_run")
        for (const auto& it : asked.services)
            made.groups_needed += bundle_.find_service(it)->groups.size();
    if (made.verdict != "ran")
        return made;
    try
    {
        seen_groups seen;
        check_hits(asked, answer, seen, made);
        check_coverage(asked, answer, seen, made);
        made.sub_requests_sent =
            answer.at("sub_requests_sent").get<std::uint64_t>();
    }
    catch (const json::exception& ex)
    {
        add(made, violation::malformed, ex.what());
    }
    return made;
}

void answer_check::check_hits(
    const arrival& asked,
    const json& answer,
    seen_groups& seen,
    checked_answer& made) const
{
    auto snapshot = answer.at("snapshot").get<std::uint64_t>();
    made.snapshot = snapshot;
    auto last_score = HUGE_VAL;
    for (const auto& it : answer.at("hits"))
    {
        auto id = it.at("id").get<std::string>();
        auto score = it.at("score").get<double>();
        auto origin = standins::parse_hit_id(id);
        if (!origin)
        {
            add(made, violation::wrong_answer, "unknown hit " + id);
            continue;
        }
        if (origin->snapshot != snapshot)
            add(made, violation::mixed_snapshots,
                id + " in an answer of snapshot " + std::to_string(snapshot));
        auto expected = standins::make_hit(
            asked.text, origin->snapshot, origin->service, origin->partition,
            origin->position);
        if (expected.id != id || std::abs(expected.score - score) > 1e-9)
            add(made, violation::wrong_answer, "hit of another query " + id);
        auto bit = 1U << (origin->position % 32);
        auto& positions = seen[{origin->service, origin->partition}];
        if ((positions & bit) != 0 || score > last_score)
            add(made, violation::wrong_answer, "repeated or unsorted " + id);
        positions |= bit;
        last_score = score;
    }
}

void answer_check::check_coverage(
    const arrival& asked,
    const json& answer,
    const seen_groups& seen,
    checked_answer& made) const
{
    constexpr auto whole_group = (1U << standins::hits_per_group) - 1;
    std::map<std::string, std::uint64_t> shown;
    for (const auto& [group, positions] : seen)
    {
        ++shown[group.first];
        if (positions != whole_group)
            add(made, violation::wrong_answer,
                "hits are missing of group " + group.first + '/' +
                    std::to_string(group.second));
    }
    const auto& coverage = answer.at("coverage");
    std::uint64_t answered_groups = 0;
    std::uint64_t stated_groups = 0;
    for (const auto& name : asked.services)
    {
        const auto& stated = coverage.at("services").at(name);
        auto answered = stated.at("answered").get<std::uint64_t>();
        auto total = stated.at("total").get<std::uint64_t>();
        answered_groups += answered;
        stated_groups += total;
        if (total != bundle_.find_service(name)->groups.size())
            add(made, violation::wrong_coverage,
                name + " has a total of " + std::to_string(total));
        if (answered != shown[name])
            add(made, violation::wrong_coverage,
                name + " states " + std::to_string(answered) + ", hits show " +
                    std::to_string(shown[name]));
    }
    if (coverage.at("services").size() != asked.services.size())
        add(made, violation::wrong_coverage, "another set of services");
    made.coverage = coverage.at("overall").get<double>();
    auto expected = static_cast<double>(answered_groups) /
                    static_cast<double>(stated_groups);
    if (std::abs(made.coverage - expected) > 1e-3)
        add(made, violation::wrong_coverage,
            "overall " + std::to_string(made.coverage) + ", groups give " +
                std::to_string(expected));
}

} // namespace turmericlane::load
