#include "rank_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

using seconds = std::chrono::duration<double>;

// Slot time counts for about this long. It is the target of the slowest rank,
// so that a share is granted within the time in which it is of use.
constexpr seconds memory{1.0};
// A rank is served up to a little more than its share, as some of its slot time
// goes into queries that end incomplete.
constexpr double share_margin = 1.15;
// A rank with a queue up to this length is not in overload. It then competes
// by arrival with the more urgent ranks that aren't urgent themselves: strict
// order at 60% load doubles the 99th percentile of the least urgent rank and
// gains the others nothing.
constexpr std::size_t short_queue_entries = 8;
constexpr duration decay_step = std::chrono::milliseconds(10);

} // namespace

void rank_queue::set_policy(const bundle& in_force, std::size_t capacity)
{
    for (std::size_t n = 0; n < rank_count; ++n)
        ranks_[n].min_share = in_force.ranks[n].min_share;
    capacity_ = capacity;
}

bool rank_queue::full(rank work) const
{
    return ranks_[index_of(work)].waiting >= capacity_;
}

void rank_queue::push(rank work, entry added)
{
    auto& state = ranks_[index_of(work)];
    state.entries.push_back({added, ++arrivals_});
    ++state.waiting;
}

void rank_queue::on_withdrawn(rank work)
{
    auto& state = ranks_[index_of(work)];
    assert(state.waiting > 0);
    --state.waiting;
}

rank_queue::entry rank_queue::front(rank work) const
{
    return ranks_[index_of(work)].entries.front().part;
}

void rank_queue::pop(rank work, bool withdrawn)
{
    auto& state = ranks_[index_of(work)];
    assert(!state.entries.empty());
    state.entries.pop_front();
    if (withdrawn)
        return;
    assert(state.waiting > 0);
    --state.waiting;
}

bool rank_queue::empty(rank work) const
{
    return ranks_[index_of(work)].entries.empty();
}

std::optional<rank> rank_queue::next(time_point now)
{
    decay(now);
    double total = 0.0;
    for (const auto& it : ranks_)
        total += it.used;
    std::optional<rank> most_urgent;
    std::optional<rank> owed;
    double lowest = 1.0;
    for (auto it : all_ranks)
    {
        const auto& state = ranks_[index_of(it)];
        if (state.waiting == 0)
            continue;
        if (!most_urgent)
            most_urgent = it;
        auto guaranteed = share_margin * state.min_share * total;
        if (guaranteed <= 0.0 || state.used / guaranteed >= lowest)
            continue;
        lowest = state.used / guaranteed;
        owed = it;
    }
    if (owed || !most_urgent || *most_urgent == rank::urgent)
        return owed ? owed : most_urgent;
    return first_arrived(*most_urgent);
}

rank rank_queue::first_arrived(rank most_urgent) const
{
    auto chosen = most_urgent;
    for (auto it : all_ranks)
    {
        const auto& state = ranks_[index_of(it)];
        if (it <= most_urgent || state.waiting == 0 ||
            state.waiting > short_queue_entries)
            continue;
        const auto& other = ranks_[index_of(chosen)];
        if (state.entries.front().arrival < other.entries.front().arrival)
            chosen = it;
    }
    return chosen;
}

void rank_queue::charge(rank work, duration slot_time, time_point now)
{
    decay(now);
    auto& used = ranks_[index_of(work)].used;
    used = std::max(0.0, used + seconds(slot_time).count());
}

std::size_t rank_queue::waiting(rank work) const
{
    return ranks_[index_of(work)].waiting;
}

std::size_t rank_queue::waiting() const
{
    std::size_t sum = 0;
    for (const auto& it : ranks_)
        sum += it.waiting;
    return sum;
}

void rank_queue::decay(time_point now)
{
    auto passed = now - decayed_;
    if (passed < decay_step)
        return;
    auto factor = std::exp(-(seconds(passed) / memory));
    for (auto& it : ranks_)
        it.used *= factor;
    decayed_ = now;
}

} // namespace turmericlane
