#include "statistics.h"

#include "bench_run.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turmericlane::bench
{
namespace
{

double ratio(double part, double whole)
{
    return whole > 0.0 ? part / whole : 0.0;
}

// Nearest-rank percentile of sorted values.
double percentile(const std::vector<double>& sorted, double part)
{
    if (sorted.empty())
        return 0.0;
    auto n = std::ceil(part * static_cast<double>(sorted.size()));
    return sorted[static_cast<std::size_t>(std::max(n, 1.0)) - 1];
}

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

double extra(std::uint64_t sub_requests, std::uint64_t needed) noexcept
{
    if (needed == 0)
        return 0.0;
    return static_cast<double>(sub_requests) / static_cast<double>(needed) -
           1.0;
}

statistics::statistics(
    const deployment& of, const scenario& what, time_point start)
    : deployment_(of)
    , scenario_(what)
    , start_(start)
{
}

void statistics::fill(run_result& result) const
{
    for (auto it : all_ranks)
        result.ranks[index_of(it)] = figures(result.records, it);
}

rank_result
statistics::figures(const std::vector<query_record>& all, rank work) const
{
    rank_result made;
    std::vector<double> latencies;
    for (const auto& it : all)
    {
        if (it.work != work || it.sent < start_ + bench_run::warm_up)
            continue;
        ++made.sent;
        made.sub_requests += it.sub_requests;
        made.needed += static_cast<std::uint64_t>(std::popcount(it.asked));
        if (!it.is_finished)
            continue;
        made.not_run += it.state.result == outcome::not_run ? 1 : 0;
        made.may_have_run += it.state.result == outcome::may_have_run ? 1 : 0;
        if (it.state.result != outcome::ran)
            continue;
        made.coverage += it.coverage;
        latencies.push_back(
            to_ms(it.finished + deployment_.client_delay - it.sent));
    }
    std::sort(latencies.begin(), latencies.end());
    made.answered = latencies.size();
    made.coverage = ratio(made.coverage, static_cast<double>(made.answered));
    made.p50_ms = percentile(latencies, 0.5);
    made.p99_ms = percentile(latencies, 0.99);
    made.extra_load = extra(made.sub_requests, made.needed);
    made.coverage_after_loss = coverage_after_loss(all, work);
    made.busiest_share = share(all, work, deployment_.busiest);
    made.grouped_share = share(all, work, deployment_.busiest_grouped);
    return made;
}

double statistics::coverage_after_loss(
    const std::vector<query_record>& all, rank work) const
{
    if (!scenario_.replica_loss)
        return 1.0;
    auto from = start_ + *scenario_.replica_loss + std::chrono::seconds(1);
    double answered = 0.0;
    double total = 0.0;
    for (const auto& it : all)
    {
        if (it.work != work || it.sent < from ||
            it.state.result != outcome::ran)
            continue;
        for (const auto& of : it.by_service)
        {
            const auto* service = deployment_.first.find_service(of.service);
            if (service->groups.front().searchers.size() < 2)
                continue;
            answered += of.answered_groups;
            total += of.total_groups;
        }
    }
    return ratio(answered, total);
}

double statistics::share(
    const std::vector<query_record>& all,
    rank work,
    std::uint32_t service) const
{
    // By the time of the end, so that what ends after the load doesn't count.
    auto from = start_ + bench_run::warm_up;
    auto until = start_ + scenario_.length;
    double answered = 0.0;
    for (const auto& it : all)
    {
        if (it.work != work || it.state.result != outcome::ran ||
            it.finished < from || it.finished >= until)
            continue;
        for (const auto& of : it.by_service)
            if (of.service == service)
                answered += of.answered_groups;
    }
    const auto& map = *deployment_.first.find_service(service);
    auto slots = static_cast<double>(
        map.slots * map.groups.front().searchers.size() * map.groups.size());
    auto window = std::chrono::duration<double>(until - from).count();
    return ratio(answered * mean_service_seconds(), slots * window);
}

} // namespace turmericlane::bench
