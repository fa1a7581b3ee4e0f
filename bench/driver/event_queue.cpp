#include "event_queue.h"

#include <algorithm>

namespace turmericlane::bench
{

bool event_queue::later(const event& left, const event& right) noexcept
{
    if (left.point != right.point)
        return left.point > right.point;
    return left.sequence > right.sequence;
}

void event_queue::at(time_point point, action what)
{
    assert(what != nullptr);
    heap_.push_back({std::max(point, now()), sequence_++, std::move(what)});
    std::push_heap(heap_.begin(), heap_.end(), later);
}

void event_queue::after(duration delay, action what)
{
    assert(delay >= duration::zero());
    at(now() + delay, std::move(what));
}

void event_queue::run_until(time_point end)
{
    while (!heap_.empty() && heap_.front().point <= end)
    {
        std::pop_heap(heap_.begin(), heap_.end(), later);
        auto next = std::move(heap_.back());
        heap_.pop_back();
        time_.advance_to(next.point);
        next.what();
    }
    time_.advance_to(end);
}

} // namespace turmericlane::bench
