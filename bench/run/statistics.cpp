#include "statistics.h"

#include "bench_run.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turmericlane::bench
{
namespace
{

double ratio(double numerator, double denominator)
{
    return denominator > 0.0 ? numerator / denominator : 0.0;
}

// Returns the nearest-rank percentile of sorted values.
double percentile(const std::vector<double>& sorted_values, double share)
{
    if (sorted_values.empty())
        return 0.0;
    auto position =
        std::ceil(share * static_cast<double>(sorted_values.size()));
    return sorted_values[static_cast<std::size_t>(std::max(position, 1.0)) - 1];
}

double to_ms(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

double extra_load_share(
    std::uint64_t sub_requests, std::uint64_t needed_groups) noexcept
{
    if (needed_groups == 0)
        return 0.0;
    return static_cast<double>(sub_requests) /
               static_cast<double>(needed_groups) -
           1.0;
}

statistics::statistics(
    const deployment& selected_deployment,
    const scenario& selected_scenario,
    time_point start)
    : deployment_(selected_deployment)
    , scenario_(selected_scenario)
    , start_(start)
{
}

void statistics::fill_figures(run_result& result) const
{
    for (auto it : all_ranks)
        result.ranks[index_of(it)] = rank_figures(result.records, it);
}

rank_result statistics::rank_figures(
    const std::vector<query_record>& records, rank query_rank) const
{
    rank_result result;
    std::vector<double> latencies;
    for (const auto& it : records)
    {
        if (it.query_rank != query_rank ||
            it.send_time < start_ + bench_run::warm_up)
            continue;
        ++result.sent;
        result.sub_requests += it.sub_requests;
        result.needed_groups +=
            static_cast<std::uint64_t>(std::popcount(it.requested_groups));
        if (!it.is_finished)
            continue;
        result.not_run += it.state.result == outcome::not_run ? 1 : 0;
        result.may_have_run += it.state.result == outcome::may_have_run ? 1 : 0;
        if (it.state.result != outcome::ran)
            continue;
        result.coverage += it.coverage;
        latencies.push_back(
            to_ms(it.finish_time + deployment_.client_delay - it.send_time));
    }
    std::sort(latencies.begin(), latencies.end());
    result.answered = latencies.size();
    result.coverage =
        ratio(result.coverage, static_cast<double>(result.answered));
    result.p50_ms = percentile(latencies, 0.5);
    result.p99_ms = percentile(latencies, 0.99);
    result.extra_load =
        extra_load_share(result.sub_requests, result.needed_groups);
    result.coverage_after_loss = coverage_after_loss(records, query_rank);
    result.busiest_share =
        slot_share(records, query_rank, deployment_.busiest_service);
    result.replicated_share =
        slot_share(records, query_rank, deployment_.busiest_replicated_service);
    return result;
}

double statistics::coverage_after_loss(
    const std::vector<query_record>& records, rank query_rank) const
{
    if (!scenario_.replica_loss_start)
        return 1.0;
    auto first_send_time =
        start_ + *scenario_.replica_loss_start + std::chrono::seconds(1);
    double answered_groups = 0.0;
    double total_groups = 0.0;
    for (const auto& it : records)
    {
        if (it.query_rank != query_rank || it.send_time < first_send_time ||
            it.state.result != outcome::ran)
            continue;
        for (const auto& coverage : it.service_coverages)
        {
            const auto* service =
                deployment_.initial_bundle.find_service(coverage.service);
            if (service->groups.front().searchers.size() < 2)
                continue;
            answered_groups += coverage.answered_groups;
            total_groups += coverage.total_groups;
        }
    }
    return ratio(answered_groups, total_groups);
}

double statistics::slot_share(
    const std::vector<query_record>& records,
    rank query_rank,
    std::uint32_t service) const
{
    // Queries are selected by their finish time, so that those that end after
    // the load don't count.
    auto window_start = start_ + bench_run::warm_up;
    auto window_end = start_ + scenario_.length;
    double answered_groups = 0.0;
    for (const auto& it : records)
    {
        if (it.query_rank != query_rank || it.state.result != outcome::ran ||
            it.finish_time < window_start || it.finish_time >= window_end)
            continue;
        for (const auto& coverage : it.service_coverages)
            if (coverage.service == service)
                answered_groups += coverage.answered_groups;
    }
    const auto& service_definition =
        *deployment_.initial_bundle.find_service(service);
    auto slots = static_cast<double>(
        service_definition.slots *
        service_definition.groups.front().searchers.size() *
        service_definition.groups.size());
    auto window_seconds =
        std::chrono::duration<double>(window_end - window_start).count();
    return ratio(
        answered_groups * mean_service_time_seconds(), slots * window_seconds);
}

} // namespace turmericlane::bench
