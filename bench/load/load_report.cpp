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

/** Returns the value below which the share of the samples lies. */
double quantile(std::vector<double> samples, double share)
{
    if (samples.empty())
        return 0.0;
    auto last = static_cast<double>(samples.size() - 1);
    auto at = samples.begin() + std::lround(share * last);
    std::nth_element(samples.begin(), at, samples.end());
    return *at;
}

double ratio(double of, std::uint64_t to)
{
    return to == 0 ? 0.0 : of / static_cast<double>(to);
}

/** Time past the deadline that an answer may take on its way. */
constexpr std::chrono::milliseconds late_margin{50};

constexpr std::size_t most_examples = 20;

} // namespace

void load_report::add(const search_outcome& ended)
{
    std::lock_guard lock(mutex_);
    auto& of = ranks_[index_of(ended.work)];
    ++of.sent;
    of.not_connected += ended.not_connected;
    of.lost += ended.lost;
    of.violations += ended.violations.size();
    of.groups_needed += ended.groups_needed;
    add_unlocked(ended.violations);
    if (ended.latency > ended.deadline + late_margin)
        ++of.late;
    if (ended.verdict.empty())
        ++of.unanswered;
    else if (ended.verdict != "ran")
        ++of.refused[ended.verdict + '/' + ended.reason];
    if (ended.verdict != "ran")
        return;
    ++of.answered;
    of.complete += ended.coverage >= 1.0 ? 1 : 0;
    ++snapshots_[ended.snapshot];
    of.coverage_sum += ended.coverage;
    of.sub_requests_sent += ended.sub_requests_sent;
    of.latencies_ms.push_back(ended.latency.count());
}

void load_report::add(const booking_outcome& ended)
{
    std::lock_guard lock(mutex_);
    ++bookings_;
    bookings_without_ticket_ += ended.no_ticket ? 1 : 0;
    for (const auto& it : ended.replies)
        ++booking_replies_[it];
    add_unlocked(ended.violations);
}

void load_report::add(const std::vector<violation_record>& found)
{
    std::lock_guard lock(mutex_);
    add_unlocked(found);
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

void load_report::set_executed_bookings(std::uint64_t executed)
{
    std::lock_guard lock(mutex_);
    bookings_executed_ = executed;
}

std::uint64_t load_report::answered() const
{
    std::lock_guard lock(mutex_);
    std::uint64_t sum = 0;
    for (const auto& it : ranks_)
        sum += it.answered;
    return sum;
}

std::uint64_t load_report::violations() const
{
    std::lock_guard lock(mutex_);
    return std::accumulate(
        violations_.begin(), violations_.end(), std::uint64_t{0});
}

json load_report::to_json() const
{
    std::lock_guard lock(mutex_);
    json made = {{"ranks", json::object()}};
    std::uint64_t needed = 0;
    std::uint64_t sent = 0;
    std::uint64_t lost = 0;
    for (auto it : all_ranks)
    {
        const auto& of = ranks_[index_of(it)];
        needed += of.groups_needed;
        sent += of.sub_requests_sent;
        lost += of.lost;
        made["ranks"][std::string(turmericlane::to_string(it))] = {
            {"sent", of.sent},
            {"answered", of.answered},
            {"complete", of.complete},
            {"unanswered", of.unanswered},
            {"late", of.late},
            {"not_connected", of.not_connected},
            {"lost", of.lost},
            {"refused", of.refused},
            {"p50_ms", quantile(of.latencies_ms, 0.5)},
            {"p99_ms", quantile(of.latencies_ms, 0.99)},
            {"coverage", ratio(of.coverage_sum, of.answered)},
            {"violations", of.violations}};
    }
    for (std::size_t n = 0; n < violation_count; ++n)
        made["violations"][std::string(to_string(static_cast<violation>(n)))] =
            violations_[n];
    made["violations_total"] = std::accumulate(
        violations_.begin(), violations_.end(), std::uint64_t{0});
    made["examples"] = examples_;
    made["late_starts"] = late_starts_;
    made["not_sent"] = not_sent_;
    made["lost"] = lost;
    for (const auto& [snapshot, count] : snapshots_)
        made["snapshots"][std::to_string(snapshot)] = count;
    made["groups_needed"] = needed;
    made["sub_requests_sent"] = sent;
    made["bookings"] = {
        {"tried", bookings_},
        {"without_ticket", bookings_without_ticket_},
        {"executed", bookings_executed_},
        {"replies", booking_replies_}};
    return made;
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
        const auto& of =
            report["ranks"][std::string(turmericlane::to_string(it))];
        std::uint64_t refused = 0;
        for (const auto& [why, count] : of["refused"].items())
            refused += count.get<std::uint64_t>();
        std::snprintf(
            line, sizeof line,
            "%-9s %7lu %8lu %7lu %7lu %6lu %5lu %9.1f %9.1f %9.4f %10lu\n",
            turmericlane::to_string(it).data(), of["sent"].get<unsigned long>(),
            of["answered"].get<unsigned long>(), refused,
            of["unanswered"].get<unsigned long>(),
            of["late"].get<unsigned long>(), of["lost"].get<unsigned long>(),
            of["p50_ms"].get<double>(), of["p99_ms"].get<double>(),
            of["coverage"].get<double>(),
            of["violations"].get<unsigned long>());
        text += line;
    }
    for (auto it : all_ranks)
    {
        std::string name(turmericlane::to_string(it));
        for (const auto& [why, count] :
             report["ranks"][name]["refused"].items())
            text.append("  refused " + name + ' ')
                .append(why + ": " + count.dump() + '\n');
    }
    const auto& bookings = report["bookings"];
    text += "bookings: tried " + bookings["tried"].dump() +
            ", without ticket " + bookings["without_ticket"].dump() +
            ", executed " + bookings["executed"].dump() + '\n';
    for (const auto& [reply, count] : bookings["replies"].items())
        text += "  reply " + reply + ": " + count.dump() + '\n';
    text += "violations: " + report["violations_total"].dump() +
            ", late starts of the load tool: " + report["late_starts"].dump() +
            ", not sent by it: " + report["not_sent"].dump() + '\n';
    for (const auto& it : report["examples"])
        text += "  violation " + it.get<std::string>() + '\n';
    return text;
}

void load_report::add_unlocked(const std::vector<violation_record>& found)
{
    for (const auto& it : found)
    {
        ++violations_[static_cast<std::size_t>(it.kind)];
        if (examples_.size() < most_examples)
            examples_.push_back(
                std::string(to_string(it.kind)) + ": " + it.detail);
    }
}

} // namespace turmericlane::load
