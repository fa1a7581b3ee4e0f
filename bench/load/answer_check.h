#pragma once

#include "arrival_plan.h"
#include "violation.h"

#include <nlohmann/json.hpp>

namespace turmericlane::load
{

/** Hits that searches ask for: above what all groups of an example return. */
inline constexpr std::uint32_t asked_hits = 200;

/** What a reply to a search says. */
struct checked_answer
{
    /** ran, not_run or may_have_run; empty if malformed. */
    std::string verdict;
    std::string reason;
    std::uint64_t snapshot = 0;
    double coverage = 0.0;
    /** Groups in the partition maps of the requested services. */
    std::uint64_t groups_needed = 0;
    std::uint64_t sub_requests_sent = 0;
    std::vector<violation_record> violations;
};

/** Checks replies to searches against the bundle and the hits that the
    stand-ins make.

    Every hit must be the one that its group makes for this query and snapshot;
    every group must be there whole; the coverage must be the number of groups
    that the hits show.
*/
class answer_check
{
public:
    /** The bundle outlives the check. */
    explicit answer_check(const bundle& from);

    /** Checks one reply.
        @param asked       the search
        @param request_id  id that was sent
        @param body        body of the reply */
    checked_answer check(
        const arrival& asked,
        const std::string& request_id,
        const std::string& body) const;

private:
    /** Positions of hits that were seen, by service and partition. */
    using seen_groups =
        std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>;

    void check_hits(
        const arrival& asked,
        const nlohmann::json& answer,
        seen_groups& seen,
        checked_answer& made) const;
    void check_coverage(
        const arrival& asked,
        const nlohmann::json& answer,
        const seen_groups& seen,
        checked_answer& made) const;

    const bundle& bundle_;
};

} // namespace turmericlane::load
