#include "admission.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

constexpr double initial_limit = 32.0;
// Two queries keep every rank measured, so that its limit can recover.
constexpr double lowest_limit = 2.0;
constexpr double highest_limit = 4096.0;
constexpr double lowering_factor = 0.8;
// Share of the rank's target that a part may wait for a slot. A query is as
// slow as its slowest part: with a quarter of the target, half of the urgent
// queries took 80% of it in a flood of urgent work, at the same goodput.
constexpr double delay_share = 0.15;

} // namespace

admission::admission()
{
    for (auto& it : ranks_)
        it.limit = initial_limit;
}

void admission::on_bundle(const bundle& in_force)
{
    for (std::size_t n = 0; n < rank_count; ++n)
        ranks_[n].delay_bound = std::chrono::duration_cast<duration>(
            delay_share * duration(in_force.ranks[n].target));
}

bool admission::try_enter(rank work)
{
    auto& state = ranks_[index_of(work)];
    if (static_cast<double>(state.in_use) + 1.0 > state.limit)
        return false;
    ++state.in_use;
    return true;
}

void admission::leave(rank work)
{
    auto& state = ranks_[index_of(work)];
    assert(state.in_use > 0);
    --state.in_use;
}

bool admission::delayed(rank work, duration queue_delay) const
{
    return queue_delay > ranks_[index_of(work)].delay_bound;
}

void admission::on_congested(rank work, time_point sent, time_point now)
{
    auto& state = ranks_[index_of(work)];
    if (sent < state.lowered)
        return;
    state.lowered = now;
    state.limit = std::max(lowest_limit, state.limit * lowering_factor);
}

void admission::on_uncongested(rank work)
{
    auto& state = ranks_[index_of(work)];
    if (2.0 * static_cast<double>(state.in_use) < state.limit)
        return;
    state.limit = std::min(highest_limit, state.limit + 1.0 / state.limit);
}

double admission::limit(rank work) const
{
    return ranks_[index_of(work)].limit;
}

} // namespace turmericlane
