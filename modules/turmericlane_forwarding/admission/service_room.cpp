#include "service_room.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

/** Time constant of the sums, in seconds: long against the targets, so that
    the fractions hold over many requests, and short against a burst. */
constexpr double memory_seconds = 2.0;
/** Minimum share of a rank, relative to its share of what is asked for. The
    served fraction of a rank then is at least this part of that of all, and
    the limit is a quarter. */
constexpr double minimum_ratio = 0.3;
/** By how much a rank may be served more often than a more urgent one; the
    limit is 0.05. */
constexpr double served_tolerance = 0.02;
/** Fewer recent requests say nothing about how often a rank is served. */
constexpr double min_sample = 5.0;
/** Starts that a rank can be owed; a rank is owed more only while its
    sub-requests cannot be sent. */
constexpr double max_credit = 2.0;
/** Smallest share that a rank is expected to get; it keeps times finite. */
constexpr double least_share = 0.001;

} // namespace

double service_room::rank_state::served() const noexcept
{
    return asked > 0.0 ? std::clamp(admitted / asked, 0.0, 1.0) : 1.0;
}

void service_room::decay(time_point now)
{
    if (now <= decay_time_)
        return;
    const auto factor = std::exp(
        -std::chrono::duration<double>(now - decay_time_).count() /
        memory_seconds);
    decay_time_ = now;
    for (auto& [rank, state] : ranks_)
    {
        state.asked *= factor;
        state.admitted *= factor;
        state.started *= factor;
    }
}

void service_room::on_asked(std::uint32_t rank, time_point now)
{
    decay(now);
    ranks_[rank].asked += 1.0;
}

void service_room::on_admitted(std::uint32_t rank, time_point now)
{
    decay(now);
    ranks_[rank].admitted += 1.0;
}

void service_room::on_dropped(std::uint32_t rank, time_point now)
{
    decay(now);
    auto& state = ranks_[rank];
    state.admitted = std::max(0.0, state.admitted - 1.0);
}

void service_room::on_started(std::uint32_t rank, time_point now)
{
    decay(now);
    ranks_[rank].started += 1.0;
    for (auto& [id, state] : ranks_)
    {
        if (state.is_waiting)
            state.credit =
                std::min(state.credit + minimum_share(id), max_credit);
    }
    auto& credit = ranks_[rank].credit;
    credit = std::max(0.0, credit - 1.0);
}

double service_room::minimum_share(std::uint32_t rank) const
{
    double total = 0.0;
    for (const auto& [id, state] : ranks_)
        total += state.asked;
    const auto match = ranks_.find(rank);
    if (match == ranks_.end() || total <= 0.0)
        return 0.0;
    return minimum_ratio * match->second.asked / total;
}

std::uint32_t service_room::next_rank(
    std::span<const std::uint32_t> waiting_ranks, time_point now)
{
    assert(!waiting_ranks.empty());
    decay(now);
    for (auto& [id, state] : ranks_)
    {
        state.is_waiting =
            std::find(waiting_ranks.begin(), waiting_ranks.end(), id) !=
            waiting_ranks.end();
        // An unused share is lent, not saved.
        if (!state.is_waiting)
            state.credit = 0.0;
    }
    auto result = waiting_ranks.front();
    auto largest_credit = 0.0;
    for (const auto rank : waiting_ranks)
    {
        const auto credit = ranks_[rank].credit;
        if (credit < 1.0 || credit <= largest_credit)
            continue;
        largest_credit = credit;
        result = rank;
    }
    return result;
}

double service_room::expected_share(
    std::uint32_t rank,
    const waiting_counts& waiting,
    double throughput,
    time_point now)
{
    decay(now);
    auto share = 1.0;
    for (const auto& [id, state] : ranks_)
    {
        if (id < rank)
            share -= state.admitted / memory_seconds / throughput;
        if (id > rank && waiting.contains(id))
            share -= minimum_share(id);
    }
    return std::max({share, minimum_share(rank), least_share});
}

duration service_room::expected_wait(
    std::uint32_t rank,
    double own_ahead,
    const waiting_counts& waiting,
    double throughput,
    time_point now)
{
    decay(now);
    auto more_urgent = 0.0;
    for (const auto& [id, count] : waiting)
    {
        if (id < rank)
            more_urgent += static_cast<double>(count);
    }
    const auto ahead = own_ahead + more_urgent;
    auto seconds =
        ahead / (throughput * expected_share(rank, waiting, throughput, now));
    // The rank's own share is not used by more urgent ones.
    const auto own_share = minimum_share(rank);
    if (own_share > 0.0)
        seconds = std::min(seconds, own_ahead / (throughput * own_share));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

bool service_room::is_ahead_of_more_urgent(std::uint32_t rank, time_point now)
{
    decay(now);
    const auto own = ranks_[rank].served();
    return std::any_of(
        ranks_.begin(), ranks_.lower_bound(rank),
        [own](const auto& it)
        {
            return it.second.asked >= min_sample &&
                   it.second.served() + served_tolerance < own;
        });
}

std::vector<service_room::rank_share> service_room::shares(time_point now)
{
    decay(now);
    double total = 0.0;
    for (const auto& [rank, state] : ranks_)
        total += state.started;
    std::vector<rank_share> result;
    for (const auto& [rank, state] : ranks_)
        result.push_back(
            {rank, minimum_share(rank),
             total > 0.0 ? state.started / total : 0.0, state.served()});
    return result;
}

} // namespace turmericlane
