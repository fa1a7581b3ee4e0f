#include "event_queue.h"

#include <algorithm>

namespace turmericlane::bench
{

bool event_queue::is_later(const event& left, const event& right) noexcept
{
    if (left.due_time != right.due_time)
        return left.due_time > right.due_time;
    return left.sequence > right.sequence;
}

void event_queue::schedule_at(time_point due_time, action callback)
{
    assert(callback != nullptr);
    heap_.push_back(
        {std::max(due_time, now()), sequence_++, std::move(callback)});
    std::push_heap(heap_.begin(), heap_.end(), is_later);
}

void event_queue::schedule_after(duration delay, action callback)
{
    assert(delay >= duration::zero());
    schedule_at(now() + delay, std::move(callback));
}

void event_queue::run_until(time_point end)
{
    while (!heap_.empty() && heap_.front().due_time <= end)
    {
        std::pop_heap(heap_.begin(), heap_.end(), is_later);
        auto next_event = std::move(heap_.back());
        heap_.pop_back();
        clock_.advance_to(next_event.due_time);
        next_event.callback();
    }
    clock_.advance_to(end);
}

} // namespace turmericlane::bench
