#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace turmericlane::load
{

using json = nlohmann::json;

namespace
{

/** Returns the quantile of a share from 0 to 1; 0 without samples. */
double quantile(std::vector<double> samples, double share)
{
    if (samples.empty())
        return 0.0;
    auto last = static_cast<double>(samples.size() - 1);
    auto position = samples.begin() + std::lround(share * last);
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

double ratio(double sum, std::uint64_t count)
{
    return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

/** Time after the deadline for the transfer of an answer. */
constexpr std::chrono::milliseconds late_margin{50};

constexpr std::size_t max_examples = 20;

} // namespace

void load_report::add(const search_outcome& outcome)
{
    std::lock_guard lock(mutex_);
    auto& counters = ranks_[index_of(outcome.request_rank)];
    ++counters.sent;
    counters.not_connected += outcome.unconnected_attempts;
    counters.lost += outcome.lost_attempts;
    counters.violations += outcome.violations.size();
    counters.groups_needed += outcome.groups_needed;
    add_unlocked(outcome.violations);
    if (outcome.latency > outcome.deadline + late_margin)
        ++counters.late;
    if (outcome.verdict.empty())
        ++counters.unanswered;
    else if (outcome.verdict != "ran")
        ++counters.refused[outcome.verdict + '/' + outcome.reason];
    if (outcome.verdict != "ran")
        return;
    ++counters.answered;
    counters.complete += outcome.coverage >= 1.0 ? 1 : 0;
    ++snapshots_[outcome.snapshot];
    counters.coverage_sum += outcome.coverage;
    counters.sub_requests_sent += outcome.sub_requests_sent;
    counters.latencies_ms.push_back(outcome.latency.count());
}

void load_report::add(const booking_outcome& outcome)
{
    std::lock_guard lock(mutex_);
    ++bookings_;
    bookings_without_ticket_ += outcome.has_no_ticket ? 1 : 0;
    for (const auto& it : outcome.replies)
        ++booking_replies_[it];
    add_unlocked(outcome.violations);
}

void load_report::add(const std::vector<violation_record>& violations_found)
{
    std::lock_guard lock(mutex_);
    add_unlocked(violations_found);
}

void load_report::add_late_start()
{
    std::lock_guard lock(mutex_);
    ++late_starts_;
}

void load_report::add_not_sent()
{
    std::lock_guard lock(mutex_);
    ++not_sent_;
}

void load_report::set_executed_bookings(std::uint64_t count)
{
    std::lock_guard lock(mutex_);
    bookings_executed_ = count;
}

std::uint64_t load_report::answered_count() const
{
    std::lock_guard lock(mutex_);
    std::uint64_t sum = 0;
    for (const auto& it : ranks_)
        sum += it.answered;
    return sum;
}

std::uint64_t load_report::total_violations() const
{
    std::lock_guard lock(mutex_);
    return std::accumulate(
        violations_.begin(), violations_.end(), std::uint64_t{0});
}

json load_report::to_json() const
{
    std::lock_guard lock(mutex_);
    json result = {{"ranks", json::object()}};
    std::uint64_t groups_needed = 0;
    std::uint64_t sub_requests_sent = 0;
    std::uint64_t lost = 0;
    for (auto it : all_ranks)
    {
        const auto& counters = ranks_[index_of(it)];
        groups_needed += counters.groups_needed;
        sub_requests_sent += counters.sub_requests_sent;
        lost += counters.lost;
        result["ranks"][std::string(turmericlane::to_string(it))] = {
            {"sent", counters.sent},
            {"answered", counters.answered},
            {"complete", counters.complete},
            {"unanswered", counters.unanswered},
            {"late", counters.late},
            {"not_connected", counters.not_connected},
            {"lost", counters.lost},
            {"refused", counters.refused},
            {"p50_ms", quantile(counters.latencies_ms, 0.5)},
            {"p99_ms", quantile(counters.latencies_ms, 0.99)},
            {"coverage", ratio(counters.coverage_sum, counters.answered)},
            {"violations", counters.violations}};
    }
    for (std::size_t n = 0; n < violation_count; ++n)
        result["violations"]
              [std::string(to_string(static_cast<violation>(n)))] =
                  violations_[n];
    result["violations_total"] = std::accumulate(
        violations_.begin(), violations_.end(), std::uint64_t{0});
    result["examples"] = violation_examples_;
    result["late_starts"] = late_starts_;
    result["not_sent"] = not_sent_;
    result["lost"] = lost;
    for (const auto& [snapshot, count] : snapshots_)
        result["snapshots"][std::to_string(snapshot)] = count;
    result["groups_needed"] = groups_needed;
    result["sub_requests_sent"] = sub_requests_sent;
    result["bookings"] = {
        {"tried", bookings_},
        {"without_ticket", bookings_without_ticket_},
        {"executed", bookings_executed_},
        {"replies", booking_replies_}};
    return result;
}

std::string load_report::to_table() const
{
    auto report = to_json();
    char line[200];
    std::snprintf(
        line, sizeof line, "%-9s %7s %8s %7s %7s %6s %5s %9s %9s %9s %10s\n",
        "rank", "sent", "answered", "refused", "no_repl", "late", "lost",
        "p50_ms", "p99_ms", "coverage", "violations");
    std::string text = line;
    for (auto it : all_ranks)
    {
        const auto& rank_fields =
            report["ranks"][std::string(turmericlane::to_string(it))];
        std::uint64_t refused = 0;
        for (const auto& [cause, count] : rank_fields["refused"].items())
            refused += count.get<std::uint64_t>();
        std::snprintf(
            line, sizeof line,
            "%-9s %7lu %8lu %7lu %7lu %6lu %5lu %9.1f %9.1f %9.4f %10lu\n",
            turmericlane::to_string(it).data(),
            rank_fields["sent"].get<unsigned long>(),
            rank_fields["answered"].get<unsigned long>(), refused,
            rank_fields["unanswered"].get<unsigned long>(),
            rank_fields["late"].get<unsigned long>(),
            rank_fields["lost"].get<unsigned long>(),
            rank_fields["p50_ms"].get<double>(),
            rank_fields["p99_ms"].get<double>(),
            rank_fields["coverage"].get<double>(),
            rank_fields["violations"].get<unsigned long>());
        text += line;
    }
    for (auto it : all_ranks)
    {
        std::string name(turmericlane::to_string(it));
        for (const auto& [cause, count] :
             report["ranks"][name]["refused"].items())
            text.append("  refused " + name + ' ')
                .append(cause + ": " + count.dump() + '\n');
    }
    const auto& bookings = report["bookings"];
    text += "bookings: tried " + bookings["tried"].dump() +
            ", without ticket " + bookings["without_ticket"].dump() +
            ", executed " + bookings["executed"].dump() + '\n';
    for (const auto& [reply, count] : bookings["replies"].items())
        text += "  reply " + reply + ": " + count.dump() + '\n';
    text += "violations: " + report["violations_total"].dump() +
            ", requests sent late by the load tool: " +
            report["late_starts"].dump() +
            ", requests not sent by it: " + report["not_sent"].dump() + '\n';
    for (const auto& it : report["examples"])
        text += "  violation " + it.get<std::string>() + '\n';
    return text;
}

void load_report::add_unlocked(
    const std::vector<violation_record>& violations_found)
{
    for (const auto& it : violations_found)
    {
        ++violations_[static_cast<std::size_t>(it.kind)];
        if (violation_examples_.size() < max_examples)
            violation_examples_.push_back(
                std::string(to_string(it.kind)) + ": " + it.detail);
    }
}

} // namespace turmericlane::load
