#include "concurrency_limiter.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

constexpr double initial_limit = 32.0;
// With two queries a rank is still measured, so that its limit can recover.
constexpr double min_limit = 2.0;
constexpr double max_limit = 4096.0;
constexpr double decrease_factor = 0.8;
// Share of the rank's target that a sub-request may wait for a slot. A query is
// as slow as its slowest sub-request: with a quarter of the target, half of the
// urgent queries took 80% of it under an overload of urgent queries, at the
// same goodput.
constexpr double max_delay_share = 0.15;

} // namespace

concurrency_limiter::concurrency_limiter()
{
    for (auto& it : ranks_)
        it.limit = initial_limit;
}

void concurrency_limiter::on_bundle(const bundle& bundle_in_force)
{
    for (std::size_t n = 0; n < rank_count; ++n)
        ranks_[n].delay_bound = std::chrono::duration_cast<duration>(
            max_delay_share * duration(bundle_in_force.ranks[n].target));
}

bool concurrency_limiter::try_acquire(rank request_rank)
{
    auto& state = ranks_[index_of(request_rank)];
    if (static_cast<double>(state.running_queries) + 1.0 > state.limit)
        return false;
    ++state.running_queries;
    return true;
}

void concurrency_limiter::release(rank request_rank)
{
    auto& state = ranks_[index_of(request_rank)];
    assert(state.running_queries > 0);
    --state.running_queries;
}

bool concurrency_limiter::is_delayed(
    rank request_rank, duration queue_delay) const
{
    return queue_delay > ranks_[index_of(request_rank)].delay_bound;
}

void concurrency_limiter::on_congested_query(
    rank request_rank, time_point send_time, time_point now)
{
    auto& state = ranks_[index_of(request_rank)];
    if (send_time < state.last_decrease)
        return;
    state.last_decrease = now;
    state.limit = std::max(min_limit, state.limit * decrease_factor);
}

void concurrency_limiter::on_uncongested_query(rank request_rank)
{
    auto& state = ranks_[index_of(request_rank)];
    if (2.0 * static_cast<double>(state.running_queries) < state.limit)
        return;
    state.limit = std::min(max_limit, state.limit + 1.0 / state.limit);
}

double concurrency_limiter::limit(rank request_rank) const
{
    return ranks_[index_of(request_rank)].limit;
}

} // namespace turmericlane
