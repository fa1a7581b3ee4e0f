#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <functional>
#include <vector>

namespace turmericlane::bench
{

/** Events on a virtual clock. Events of the same instant run in the order in
    which they were added, so that a run depends on its seed alone. One thread
    uses it.

    @see bench_run
*/
class event_queue
{
public:
    using action = std::function<void()>;

    /** The virtual clock. */
    const clock& time() const noexcept
    {
        return time_;
    }

    /** The current virtual time. */
    time_point now() const noexcept
    {
        return time_.now();
    }

    /** Adds an event; a point in the past means now. */
    void at(time_point point, action what);

    /** Adds an event after a delay of zero or more. */
    void after(duration delay, action what);

    /** Runs the events up to and including a point, and moves the clock
        there. */
    void run_until(time_point end);

private:
    struct event
    {
        time_point point;
        std::uint64_t sequence = 0;
        action what;
    };

    static bool later(const event& left, const event& right) noexcept;

    manual_clock time_;
    std::uint64_t sequence_ = 0;
    std::vector<event> heap_;
};

} // namespace turmericlane::bench
