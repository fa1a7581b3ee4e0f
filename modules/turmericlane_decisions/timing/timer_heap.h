#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace turmericlane
{

/** Timers in order of their due time, in a binary heap.

    Timers can't be cancelled. The user of the heap detects a stale item when
    it becomes the first one and drops it. This keeps the cost of adding a timer
    constant on average.

    @see search_coordinator, group_dispatcher
*/
template <class Item>
class timer_heap
{
public:
    /** Adds a timer. */
    void push(time_point due, Item item)
    {
        timers_.push_back({due, std::move(item)});
        std::push_heap(timers_.begin(), timers_.end(), is_later);
    }

    /** True if there is no timer. */
    bool empty() const noexcept
    {
        return timers_.empty();
    }

    /** Returns the due time of the first timer; time_point::max() if there is
        none. */
    time_point first_due() const noexcept
    {
        return timers_.empty() ? time_point::max() : timers_.front().due;
    }

    /** Returns the item of the first timer. There must be one. */
    const Item& first() const
    {
        return timers_.front().item;
    }

    /** Removes the first timer and returns its item. There must be one. */
    Item pop()
    {
        std::pop_heap(timers_.begin(), timers_.end(), is_later);
        auto item = std::move(timers_.back().item);
        timers_.pop_back();
        return item;
    }

private:
    struct timer
    {
        time_point due;
        Item item;
    };

    static bool is_later(const timer& a, const timer& b) noexcept
    {
        return a.due > b.due;
    }

    std::vector<timer> timers_;
};

} // namespace turmericlane
