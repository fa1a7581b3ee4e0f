#include "extra_attempt_policy.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

// Hedges start without tokens, so that their share is kept from the first
// request on. The capacity bounds a burst when many servers turn slow at once.
constexpr token_budget no_hedges{0.0, 100.0};
constexpr token_budget some_retries{20.0, 100.0};
constexpr std::uint8_t most_hedges = 2;
// Multiples of the chosen percentile after which hedges start while no tokens
// are saved; at 2 only a third of the budget was used at steady load.
constexpr double delay_without_tokens = 1.5;
// Multiples of the median latency of a group.
constexpr int longest_hedge_delay = 4;
constexpr int attempt_limit = 8;
constexpr duration shortest_attempt_limit = 20ms;
// Bounds the rate at which a part that waits for a token is looked at.
constexpr duration shortest_check = 2ms;

} // namespace

extra_attempt_policy::extra_attempt_policy()
    : hedges_{no_hedges, no_hedges, no_hedges}
    , retries_{some_retries, some_retries, some_retries}
{
}

void extra_attempt_policy::on_first(rank work, const search_policy& policy)
{
    hedges_[index_of(work)].earn(policy.hedge_budget);
    retries_[index_of(work)].earn(policy.retry_budget);
}

bool extra_attempt_policy::try_retry(rank work)
{
    return retries_[index_of(work)].try_take();
}

bool extra_attempt_policy::try_hedge(rank work)
{
    return hedges_[index_of(work)].try_take();
}

bool extra_attempt_policy::can_hedge(rank work) const
{
    return hedges_[index_of(work)].can_take();
}

bool extra_attempt_policy::may_retry(
    const sub_request_record& part,
    const batch_record& batch,
    time_point now) const
{
    const auto& group = *part.group;
    if (part.why == reason::deadline_reached || part.why == reason::cancelled)
        return false;
    if (part.sent >= sub_request_record::max_attempts ||
        part.sent >= group.replicas.servers().size())
        return false;
    if (now + group.latencies.fastest() >= batch.deadline)
        return false;
    return part.why != reason::snapshot_gone ||
           group.replicas.serves_elsewhere(
               {batch.work, batch.snapshot, part.used()}, now);
}

bool extra_attempt_policy::may_hedge(const sub_request_record& part) const
{
    const auto& group = *part.group;
    return part.waits == sub_request_record::waiting::nothing &&
           part.hedges < most_hedges &&
           part.sent < sub_request_record::max_attempts &&
           part.sent < group.replicas.servers().size() &&
           group.latencies.known();
}

/** The chosen percentile, or longer while few tokens are saved, so that they
   are spent on the slowest. A slow replica is part of the percentile until it
   is ejected; the multiple of the median bounds that. */
duration extra_attempt_policy::hedge_delay(
    const sub_request_record& part, rank work) const
{
    const auto& latencies = part.group->latencies;
    auto base =
        std::min(latencies.upper(), longest_hedge_delay * latencies.median());
    const auto fill = hedges_[index_of(work)].fill();
    auto factor = delay_without_tokens + (1.0 - delay_without_tokens) * fill;
    return std::chrono::duration_cast<duration>(base * factor);
}

/** Without another replica there is nothing to gain before the deadline. */
duration
extra_attempt_policy::attempt_timeout(const sub_request_record& part) const
{
    const auto& group = *part.group;
    if (group.replicas.servers().size() < 2 || !group.latencies.known())
        return duration::max();
    return std::max(
        shortest_attempt_limit, attempt_limit * group.latencies.median());
}

time_point extra_attempt_policy::next_check(
    const sub_request_record& part,
    const batch_record& batch,
    time_point first_started,
    time_point now) const
{
    auto due = batch.deadline;
    if (auto limit = attempt_timeout(part); limit != duration::max())
        due = std::min(due, first_started + limit);
    if (may_hedge(part))
        due = std::min(due, part.last_started + hedge_delay(part, batch.work));
    return std::min(std::max(due, now + shortest_check), batch.deadline);
}

} // namespace turmericlane
