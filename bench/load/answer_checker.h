#pragma once

#include "arrival_plan.h"
#include "violation.h"

#include <nlohmann/json.hpp>

namespace turmericlane::load
{

/** Number of hits that searches request; more than all groups of an example
    configuration return. */
inline constexpr std::uint32_t requested_hit_count = 200;

/** Contents of a reply to a search, with the violations found in it. */
struct checked_answer
{
    /** "ran", "not_run" or "may_have_run"; empty if it is missing. */
    std::string verdict;
    std::string reason;
    std::uint64_t snapshot = 0;
    double coverage = 0.0;
    /** Number of groups of the requested services. */
    std::uint64_t groups_needed = 0;
    std::uint64_t sub_requests_sent = 0;
    std::vector<violation_record> violations;
};

/** Checks replies to searches against the bundle and the hits that the
    stand-ins make.

    Every hit must be the one that its group produces for this query and
    snapshot, every group must have all its hits, and the stated coverage must
    agree with the groups of the hits.
*/
class answer_checker
{
public:
    /** The bundle must outlive the checker. */
    explicit answer_checker(const bundle& configuration);

    /** Checks the reply to a search.
        @param request     the search
        @param request_id  request id that was sent
        @param body        body of the reply */
    checked_answer check(
        const arrival& request,
        const std::string& request_id,
        const std::string& body) const;

private:
    /** Bit masks of the positions of hits, by service and partition. */
    using group_positions =
        std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>;

    void check_hits(
        const arrival& request,
        const nlohmann::json& answer,
        group_positions& positions,
        checked_answer& result) const;
    void check_coverage(
        const arrival& request,
        const nlohmann::json& answer,
        const group_positions& positions,
        checked_answer& result) const;

    const bundle& bundle_;
};

} // namespace turmericlane::load
