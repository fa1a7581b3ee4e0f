#include "extra_attempt_policy.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

// Hedges start without tokens, so that their share holds from the first request
// on. The capacity limits a burst when many servers become slow at once.
constexpr token_budget initial_hedges{0.0, 100.0};
constexpr token_budget initial_retries{20.0, 100.0};
constexpr std::uint8_t max_hedges = 2;
// The hedge delay as a multiple of the upper percentile while the budget is
// empty. A multiple of 2 used only a third of the budget at steady load.
constexpr double delay_factor_without_tokens = 1.5;
// Multiples of the median latency of a group.
constexpr int max_hedge_delay_in_medians = 4;
constexpr int attempt_timeout_in_medians = 8;
constexpr duration min_attempt_timeout = 20ms;
// Limits how often a sub-request that waits for a token is checked.
constexpr duration min_check_interval = 2ms;

} // namespace

extra_attempt_policy::extra_attempt_policy()
    : hedge_budgets_{initial_hedges, initial_hedges, initial_hedges}
    , retry_budgets_{initial_retries, initial_retries, initial_retries}
{
}

void extra_attempt_policy::on_first_attempt(
    rank request_rank, const search_policy& policy)
{
    hedge_budgets_[index_of(request_rank)].refill(policy.hedge_budget);
    retry_budgets_[index_of(request_rank)].refill(policy.retry_budget);
}

bool extra_attempt_policy::try_take_retry_token(rank request_rank)
{
    return retry_budgets_[index_of(request_rank)].try_take();
}

bool extra_attempt_policy::try_take_hedge_token(rank request_rank)
{
    return hedge_budgets_[index_of(request_rank)].try_take();
}

bool extra_attempt_policy::has_hedge_token(rank request_rank) const
{
    return hedge_budgets_[index_of(request_rank)].has_token();
}

bool extra_attempt_policy::may_retry(
    const sub_request_record& sub_request,
    const batch_record& batch,
    time_point now) const
{
    const auto& group = *sub_request.group;
    if (sub_request.last_failure == reason::deadline_reached ||
        sub_request.last_failure == reason::cancelled)
        return false;
    if (sub_request.attempts_sent >= sub_request_record::max_attempts ||
        sub_request.attempts_sent >= group.replicas.servers().size())
        return false;
    if (now + group.latencies.fastest() >= batch.deadline)
        return false;
    return sub_request.last_failure != reason::snapshot_gone ||
           group.replicas.other_server_has_snapshot(
               {batch.request_rank, batch.snapshot,
                sub_request.tried_servers()},
               now);
}

bool extra_attempt_policy::may_hedge(
    const sub_request_record& sub_request) const
{
    const auto& group = *sub_request.group;
    return sub_request.wait == sub_request_record::wait_target::nothing &&
           sub_request.hedge_count < max_hedges &&
           sub_request.attempts_sent < sub_request_record::max_attempts &&
           sub_request.attempts_sent < group.replicas.servers().size() &&
           group.latencies.has_enough_samples();
}

/** The delay is the upper percentile, or longer while the budget is low, so
    that the tokens are spent on the slowest sub-requests. A slow replica raises
    the percentile until it is ejected; the multiple of the median limits that
    effect. */
duration extra_attempt_policy::hedge_delay(
    const sub_request_record& sub_request, rank request_rank) const
{
    const auto& latencies = sub_request.group->latencies;
    auto base_delay = std::min(
        latencies.upper_percentile(),
        max_hedge_delay_in_medians * latencies.median());
    const auto fill_ratio = hedge_budgets_[index_of(request_rank)].fill_ratio();
    auto factor = delay_factor_without_tokens +
                  (1.0 - delay_factor_without_tokens) * fill_ratio;
    return std::chrono::duration_cast<duration>(base_delay * factor);
}

/** Without another replica an attempt may run until the deadline, as giving it
    up gains nothing. */
duration extra_attempt_policy::attempt_timeout(
    const sub_request_record& sub_request) const
{
    const auto& group = *sub_request.group;
    if (group.replicas.servers().size() < 2 ||
        !group.latencies.has_enough_samples())
        return duration::max();
    return std::max(
        min_attempt_timeout,
        attempt_timeout_in_medians * group.latencies.median());
}

time_point extra_attempt_policy::next_check_time(
    const sub_request_record& sub_request,
    const batch_record& batch,
    time_point first_start_time,
    time_point now) const
{
    auto check_time = batch.deadline;
    if (auto timeout = attempt_timeout(sub_request); timeout != duration::max())
        check_time = std::min(check_time, first_start_time + timeout);
    if (may_hedge(sub_request))
        check_time = std::min(
            check_time, sub_request.last_attempt_time +
                            hedge_delay(sub_request, batch.request_rank));
    return std::min(
        std::max(check_time, now + min_check_interval), batch.deadline);
}

} // namespace turmericlane
