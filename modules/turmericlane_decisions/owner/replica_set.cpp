#include "replica_set.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

// Latency of an outlier as a multiple of the lowest latency of another server.
// A server whose slots are held by cancelled requests is 3 to 4 times slower
// for a short time. It must stay in use, and its cost already reduces its
// attempts.
constexpr int outlier_multiple = 5;
// Time without interruption after which a slow server is an outlier.
constexpr duration min_outlier_time = 200ms;
// With fewer samples the smoothed latency is too noisy.
constexpr std::uint32_t min_outlier_samples = 16;
constexpr std::uint32_t failures_to_eject = 3;
// A server whose slots are all held by slow requests answers again within a
// shorter time. Until then its failures limit it to one attempt at a time.
constexpr duration min_failing_time = 150ms;
// At most one server of this many is ejected.
constexpr std::size_t servers_per_ejection = 3;
// Between costs within this factor the reported load decides.
constexpr double similar_cost_factor = 1.25;
constexpr duration max_idle_time = 1s;
// Urgent attempts are used as probes only after this delay, in which attempts
// of other ranks are preferred.
constexpr duration urgent_probe_delay = 2s;

bool was_tried(const replica_set::selection_criteria& criteria, searcher_id id)
{
    return std::find(
               criteria.tried_servers.begin(), criteria.tried_servers.end(),
               id) != criteria.tried_servers.end();
}

} // namespace

void replica_set::assign(std::vector<backend_server*> servers)
{
    servers_ = std::move(servers);
}

replica_set::choice replica_set::choose(
    const selection_criteria& criteria, time_point now, std::mt19937_64& random)
{
    if (auto probe = choose_probe(criteria, now); probe.server != nullptr)
        return probe;
    auto has_usable = false;
    auto has_ejected = false;
    auto has_matching = false;
    candidates_.clear();
    for (auto* it : servers_)
    {
        if (it->is_leaving(now) || was_tried(criteria, it->id()))
            continue;
        has_ejected |= it->is_ejected();
        if (it->is_ejected())
            continue;
        has_usable = true;
        if (!it->has_room(now))
            continue;
        auto may_serve_snapshot = it->may_serve(criteria.snapshot, now);
        if (may_serve_snapshot && !has_matching)
            candidates_.clear();
        if (has_matching && !may_serve_snapshot)
            continue;
        has_matching |= may_serve_snapshot;
        candidates_.push_back(it);
    }
    if (!candidates_.empty())
        return {outcome::chosen, &choose_candidate(now, random), false};
    if (has_usable)
        return {outcome::busy};
    if (!has_ejected)
        return {outcome::none};
    // Only ejected servers are left, and using one is better than no answer.
    for (auto* it : servers_)
        if (it->is_ejected() && !it->is_leaving(now) &&
            !was_tried(criteria, it->id()) && it->has_room(now))
            return {outcome::chosen, it, true};
    return {outcome::busy};
}

void replica_set::on_latency(
    backend_server& server, duration latency, time_point now)
{
    server.on_latency(latency);
    if (server.is_ejected() || server.sample_count() < min_outlier_samples)
        return;
    auto reference_latency = best_latency(server, now);
    auto is_slow = reference_latency != duration::zero() &&
                   server.latency() >= outlier_multiple * reference_latency;
    if (server.update_slow_time(is_slow, now) >= min_outlier_time &&
        may_eject(now))
        server.eject(now);
}

void replica_set::on_failure(backend_server& server, time_point now)
{
    server.on_failure(now);
    auto is_failing = server.consecutive_failures() >= failures_to_eject &&
                      now - server.first_failure_time() >= min_failing_time;
    if (!server.is_ejected() && is_failing && may_eject(now))
        server.eject(now);
}

void replica_set::on_probe(
    backend_server& server, bool was_answered, duration latency, time_point now)
{
    auto reference_latency = best_latency(server, now);
    auto is_fast = reference_latency == duration::zero() ||
                   latency < outlier_multiple * reference_latency;
    server.on_probe(was_answered && is_fast, now);
}

void replica_set::on_probe_cancelled(
    backend_server& server, duration latency, time_point now)
{
    auto reference_latency = best_latency(server, now);
    if (reference_latency != duration::zero() &&
        latency >= outlier_multiple * reference_latency)
        server.on_probe(false, now);
    else
        server.on_probe_cancelled(now);
}

snapshot_range replica_set::common_snapshots(
    const backend_server* last_replier, time_point now) const
{
    snapshot_range common;
    for (const auto* it : servers_)
    {
        auto range = it->snapshots();
        if (range.newest == 0 || it->is_ejected() || it->is_leaving(now))
            continue;
        if (common.newest == 0)
            common = range;
        common.oldest = std::max(common.oldest, range.oldest);
        common.newest = std::min(common.newest, range.newest);
    }
    if (common.newest != 0 && common.oldest <= common.newest)
        return common;
    return last_replier != nullptr ? last_replier->snapshots()
                                   : snapshot_range{};
}

bool replica_set::other_server_has_snapshot(
    const selection_criteria& criteria, time_point now) const
{
    for (const auto* it : servers_)
        if (it->snapshots().newest != 0 &&
            (criteria.snapshot == 0 || it->has_snapshot(criteria.snapshot)) &&
            !it->is_leaving(now) && !it->is_ejected() &&
            !was_tried(criteria, it->id()))
            return true;
    return false;
}

bool replica_set::may_eject(time_point now) const
{
    std::size_t staying_servers = 0;
    std::size_t ejected_servers = 0;
    for (const auto* it : servers_)
    {
        if (it->is_leaving(now))
            continue;
        ++staying_servers;
        ejected_servers += it->is_ejected() ? 1 : 0;
    }
    return (ejected_servers + 1) * servers_per_ejection <= staying_servers;
}

duration replica_set::best_latency(
    const backend_server& excluded_server, time_point now) const
{
    auto result = duration::max();
    for (const auto* it : servers_)
        if (it != &excluded_server && !it->is_ejected() &&
            !it->is_leaving(now) && it->sample_count() > 0)
            result = std::min(result, it->latency());
    return result == duration::max() ? duration::zero() : result;
}

replica_set::choice
replica_set::choose_probe(const selection_criteria& criteria, time_point now)
{
    auto min_delay =
        criteria.request_rank == rank::urgent ? urgent_probe_delay : 0ms;
    for (auto* it : servers_)
    {
        auto due_time = probe_time(*it);
        if (due_time == time_point::max() || now - min_delay < due_time)
            continue;
        if (it->is_leaving(now) || was_tried(criteria, it->id()) ||
            !it->has_room(now) || !it->may_serve(criteria.snapshot, now))
            continue;
        return {outcome::chosen, it, it->is_ejected()};
    }
    return {};
}

/** Returns when a server gets an attempt regardless of its cost. Otherwise the
    measurements of a server without attempts would never change. */
time_point replica_set::probe_time(const backend_server& server)
{
    return server.is_ejected() ? server.next_probe_time()
                               : server.last_attempt_time() + max_idle_time;
}

backend_server&
replica_set::choose_candidate(time_point now, std::mt19937_64& random)
{
    if (candidates_.size() == 1)
        return *candidates_.front();
    auto first_index = random() % candidates_.size();
    auto second_index = random() % (candidates_.size() - 1);
    if (second_index >= first_index)
        ++second_index;
    auto* a = candidates_[first_index];
    auto* b = candidates_[second_index];
    auto fallback_latency = std::max(best_latency(*a, now), duration{1});
    auto cost_a = a->cost(fallback_latency);
    auto cost_b = b->cost(fallback_latency);
    auto are_similar = cost_a < cost_b * similar_cost_factor &&
                       cost_b < cost_a * similar_cost_factor;
    if (are_similar)
        return a->load(now) <= b->load(now) ? *a : *b;
    return cost_a < cost_b ? *a : *b;
}

} // namespace turmericlane
