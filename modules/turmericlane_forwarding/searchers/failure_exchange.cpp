#include "failure_exchange.h"

#include "searcher_registry.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time constant of the own counts: long enough for some requests of most
    instances, short against a fault. */
constexpr double memory_seconds = 2.0;
/** A smaller decayed count is not reported. */
constexpr double min_count = 0.3;
constexpr auto report_interval = 250ms;
/** A report that is older does not count: its sender has ended, or has nothing
    to report. */
constexpr auto report_lifetime = 1s;
/** How long a rejection by a full searcher stops the exchange. */
constexpr auto overload_memory = 1s;
/** Requests with which one reporter counts at most. */
constexpr double max_reporter_weight = 4.0;
/** Answered requests that are assumed of every searcher, so that a few failures
    don't put it out of use. */
constexpr double assumed_answers = 2.0;
/** Instances that have to see failures before these count. */
constexpr std::size_t min_reporters = 2;
/** Bounds the reports of one searcher and the searchers, in case that the
    peers report without end. */
constexpr std::size_t max_reports = 128;
constexpr std::size_t max_suspects = 1024;

std::uint32_t to_count(double value)
{
    return static_cast<std::uint32_t>(std::ceil(value));
}

/** Adds what one instance saw, with a bounded weight. */
void add_bounded(
    double requests, double failures, double& request_sum, double& failure_sum)
{
    if (requests <= 0.0)
        return;
    const auto weight = std::min(requests, max_reporter_weight);
    request_sum += weight;
    failure_sum += std::min(1.0, failures / requests) * weight;
}

} // namespace

failure_exchange::failure_exchange(
    const clock& time, const searcher_registry& searchers)
    : clock_(time)
    , searchers_(searchers)
{
}

void failure_exchange::decay(own_counts& counts, time_point now) const
{
    const auto age = std::chrono::duration<double>(now - counts.time).count();
    const auto factor = std::exp(-std::max(0.0, age) / memory_seconds);
    counts.requests *= factor;
    counts.failures *= factor;
    counts.time = now;
}

bool failure_exchange::is_overloaded() const
{
    return clock_.now() < overload_end_;
}

void failure_exchange::on_rejected()
{
    overload_end_ = clock_.now() + overload_memory;
    for (const auto& [id, it] : std::exchange(suspects_, {}))
    {
        if (const auto target = searchers_.find(id))
            target->set_pooled_failure_rate(0.0, clock_.now());
    }
    own_counts_.clear();
}

void failure_exchange::on_result(searcher& target, bool has_failed)
{
    if (is_overloaded())
        return;
    const auto now = clock_.now();
    const auto& id = target.entry().id;
    auto& counts = own_counts_[id];
    decay(counts, now);
    counts.requests += 1.0;
    if (has_failed)
        counts.failures += 1.0;
    auto match = suspects_.find(id);
    if (match == suspects_.end() && has_failed &&
        suspects_.size() < max_suspects)
        match = suspects_.try_emplace(id).first;
    if (match == suspects_.end())
        return;
    if (has_failed)
        match->second.last_failure = now;
    update(target);
}

std::vector<failure_count> failure_exchange::take_report()
{
    const auto now = clock_.now();
    if (now < next_report_ || is_overloaded())
        return {};
    next_report_ = now + report_interval;
    remove_expired();
    std::vector<failure_count> result;
    for (const auto& [id, it] : suspects_)
    {
        const auto match = own_counts_.find(id);
        if (match == own_counts_.end())
            continue;
        decay(match->second, now);
        if (match->second.requests < min_count)
            continue;
        const auto failures = match->second.failures < min_count
                                  ? 0
                                  : to_count(match->second.failures);
        result.push_back(
            {id, std::max(failures, to_count(match->second.requests)),
             failures});
    }
    std::sort(
        result.begin(), result.end(),
        [](const failure_count& a, const failure_count& b)
        {
            return a.failures != b.failures ? a.failures > b.failures
                                            : a.searcher_id < b.searcher_id;
        });
    if (result.size() > max_report_size)
        result.resize(max_report_size);
    return result;
}

void failure_exchange::on_report(
    std::uint64_t reporter, std::span<const failure_count> counts)
{
    if (is_overloaded())
        return;
    const auto now = clock_.now();
    for (const auto& it :
         counts.first(std::min(counts.size(), max_report_size)))
    {
        const auto target = searchers_.find(it.searcher_id);
        if (!target || it.requests == 0 || it.failures > it.requests)
            continue;
        auto match = suspects_.find(it.searcher_id);
        if (match == suspects_.end() && it.failures > 0 &&
            suspects_.size() < max_suspects)
            match = suspects_.try_emplace(it.searcher_id).first;
        if (match == suspects_.end())
            continue;
        auto& reports = match->second.reports;
        if (reports.size() >= max_reports && !reports.contains(reporter))
            continue;
        reports[reporter] = {it.requests, it.failures, now};
        if (it.failures > 0)
            match->second.last_failure = now;
        update(*target);
    }
}

void failure_exchange::update(searcher& target)
{
    const auto now = clock_.now();
    const auto& id = target.entry().id;
    auto requests = assumed_answers;
    auto failures = 0.0;
    std::size_t reporters = 0;
    const auto own = own_counts_.find(id);
    if (own != own_counts_.end())
    {
        decay(own->second, now);
        add_bounded(
            own->second.requests, own->second.failures, requests, failures);
        reporters += own->second.failures >= min_count ? 1 : 0;
    }
    for (const auto& [reporter, it] : suspects_.at(id).reports)
    {
        if (now - it.time > report_lifetime)
            continue;
        add_bounded(it.requests, it.failures, requests, failures);
        reporters += it.failures > 0 ? 1 : 0;
    }
    target.set_pooled_failure_rate(
        reporters >= min_reporters ? failures / requests : 0.0, now);
}

void failure_exchange::remove_expired()
{
    const auto now = clock_.now();
    for (auto& [id, it] : suspects_)
        std::erase_if(
            it.reports, [now](const auto& report)
            { return now - report.second.time > report_lifetime; });
    std::erase_if(
        suspects_,
        [now](const auto& it)
        {
            const std::chrono::duration<double> age =
                now - it.second.last_failure;
            return it.second.reports.empty() &&
                   age.count() > 2.0 * memory_seconds;
        });
    for (auto& [id, it] : own_counts_)
        decay(it, now);
    std::erase_if(
        own_counts_,
        [this](const auto& it) {
            return it.second.requests < min_count &&
                   !suspects_.contains(it.first);
        });
}

} // namespace turmericlane
