#include "replica_set.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

// Latency of an outlier as a multiple of the best other server's. A server
// whose slots are held by cancelled requests is 3 to 4 times slower for a short
// time; it is needed, and its cost already sends it less work.
constexpr int outlier_multiple = 5;
// How long a server has to be slow without a break to be an outlier.
constexpr duration outlier_time = 200ms;
// Below this many samples the smoothed latency is still noise.
constexpr std::uint32_t outlier_samples = 16;
constexpr std::uint32_t failures_to_eject = 3;
// A server whose slots are all held by slow requests answers again sooner than
// this; meanwhile its failures limit it to one request at a time.
constexpr duration failing_time = 150ms;
constexpr std::size_t ejected_share = 3;
// Costs within this factor are about equal, and the reported load decides.
constexpr double about_equal = 1.25;
constexpr duration longest_idle = 1s;
// Urgent requests are used as probes only if no other request came by.
constexpr duration urgent_probe_wait = 2s;

bool was_tried(const replica_set::needs& wanted, searcher_id id)
{
    return std::find(wanted.tried.begin(), wanted.tried.end(), id) !=
           wanted.tried.end();
}

} // namespace

void replica_set::assign(std::vector<backend_server*> servers)
{
    servers_ = std::move(servers);
}

replica_set::choice replica_set::choose(
    const needs& wanted, time_point now, std::mt19937_64& random)
{
    if (auto probe = choose_probe(wanted, now); probe.server != nullptr)
        return probe;
    auto usable = false;
    auto ejected = false;
    auto matching = false;
    open_.clear();
    for (auto* it : servers_)
    {
        if (it->leaving(now) || was_tried(wanted, it->id()))
            continue;
        ejected |= it->ejected();
        if (it->ejected())
            continue;
        usable = true;
        if (!it->has_room(now))
            continue;
        auto serves = it->may_serve(wanted.snapshot);
        if (serves && !matching)
            open_.clear();
        if (matching && !serves)
            continue;
        matching |= serves;
        open_.push_back(it);
    }
    if (!open_.empty())
        return {outcome::chosen, &better_of_two(now, random), false};
    if (usable)
        return {outcome::busy};
    if (!ejected)
        return {outcome::none};
    // Only ejected servers are left: better one of them than no answer.
    for (auto* it : servers_)
        if (it->ejected() && !it->leaving(now) &&
            !was_tried(wanted, it->id()) && it->has_room(now))
            return {outcome::chosen, it, true};
    return {outcome::busy};
}

void replica_set::on_latency(backend_server& of, duration took, time_point now)
{
    of.on_latency(took);
    if (of.ejected() || of.samples() < outlier_samples)
        return;
    auto best = best_latency(of, now);
    auto slow =
        best != duration::zero() && of.latency() >= outlier_multiple * best;
    if (of.slow_for(slow, now) >= outlier_time && may_eject(now))
        of.eject(now);
}

void replica_set::on_failure(backend_server& of, time_point now)
{
    of.on_failure(now);
    auto failing = of.failures() >= failures_to_eject &&
                   now - of.failing_since() >= failing_time;
    if (!of.ejected() && failing && may_eject(now))
        of.eject(now);
}

void replica_set::on_probe(
    backend_server& of, bool answered, duration took, time_point now)
{
    auto best = best_latency(of, now);
    auto fast = best == duration::zero() || took < outlier_multiple * best;
    of.on_probe(answered && fast, now);
}

void replica_set::on_probe_cancelled(
    backend_server& of, duration took, time_point now)
{
    auto best = best_latency(of, now);
    if (best != duration::zero() && took >= outlier_multiple * best)
        of.on_probe(false, now);
    else
        of.on_probe_cancelled(now);
}

snapshot_range
replica_set::served(const backend_server* replied, time_point now) const
{
    snapshot_range common;
    for (const auto* it : servers_)
    {
        auto range = it->served();
        if (range.newest == 0 || it->ejected() || it->leaving(now))
            continue;
        if (common.newest == 0)
            common = range;
        common.oldest = std::max(common.oldest, range.oldest);
        common.newest = std::min(common.newest, range.newest);
    }
    if (common.newest != 0 && common.oldest <= common.newest)
        return common;
    return replied != nullptr ? replied->served() : snapshot_range{};
}

bool replica_set::serves_elsewhere(const needs& wanted, time_point now) const
{
    for (const auto* it : servers_)
        if (it->served().newest != 0 && it->may_serve(wanted.snapshot) &&
            !it->leaving(now) && !it->ejected() && !was_tried(wanted, it->id()))
            return true;
    return false;
}

bool replica_set::may_eject(time_point now) const
{
    std::size_t staying = 0;
    std::size_t ejected = 0;
    for (const auto* it : servers_)
    {
        if (it->leaving(now))
            continue;
        ++staying;
        ejected += it->ejected() ? 1 : 0;
    }
    return (ejected + 1) * ejected_share <= staying;
}

duration
replica_set::best_latency(const backend_server& except, time_point now) const
{
    auto best = duration::max();
    for (const auto* it : servers_)
        if (it != &except && !it->ejected() && !it->leaving(now) &&
            it->samples() > 0)
            best = std::min(best, it->latency());
    return best == duration::max() ? duration::zero() : best;
}

replica_set::choice
replica_set::choose_probe(const needs& wanted, time_point now)
{
    auto wait = wanted.work == rank::urgent ? urgent_probe_wait : 0ms;
    for (auto* it : servers_)
    {
        auto due = probe_due(*it);
        if (due == time_point::max() || now - wait < due)
            continue;
        if (it->leaving(now) || was_tried(wanted, it->id()) ||
            !it->has_room(now) || !it->may_serve(wanted.snapshot))
            continue;
        return {outcome::chosen, it, it->ejected()};
    }
    return {};
}

/** When a server is to get a request whatever its cost. Measurements of a
    server that gets no requests would never change. */
time_point replica_set::probe_due(const backend_server& of)
{
    return of.ejected() ? of.probe_due() : of.last_started() + longest_idle;
}

backend_server&
replica_set::better_of_two(time_point now, std::mt19937_64& random)
{
    if (open_.size() == 1)
        return *open_.front();
    auto first = random() % open_.size();
    auto second = random() % (open_.size() - 1);
    if (second >= first)
        ++second;
    auto* a = open_[first];
    auto* b = open_[second];
    auto fallback = std::max(best_latency(*a, now), duration{1});
    auto cost_a = a->cost(fallback);
    auto cost_b = b->cost(fallback);
    auto similar =
        cost_a < cost_b * about_equal && cost_b < cost_a * about_equal;
    if (similar)
        return a->load(now) <= b->load(now) ? *a : *b;
    return cost_a < cost_b ? *a : *b;
}

} // namespace turmericlane
