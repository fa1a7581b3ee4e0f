#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <functional>
#include <vector>

namespace turmericlane::bench
{

/** Queue of events on a virtual clock. Events that are due at the same time
    run in the order in which they were added, so that a run depends on its seed
    alone. Not thread-safe.

    @see bench_run
*/
class event_queue
{
public:
    using action = std::function<void()>;

    const clock& virtual_clock() const noexcept
    {
        return clock_;
    }

    /** Returns the current virtual time. */
    time_point now() const noexcept
    {
        return clock_.now();
    }

    /** Adds an event; one that is due in the past runs at the current time. */
    void schedule_at(time_point due_time, action callback);

    /** Adds an event that is due after a delay, which must not be negative. */
    void schedule_after(duration delay, action callback);

    /** Runs the events that are due until `end`, inclusive, and sets the clock
        to it. */
    void run_until(time_point end);

private:
    struct event
    {
        time_point due_time;
        std::uint64_t sequence = 0;
        action callback;
    };

    static bool is_later(const event& left, const event& right) noexcept;

    manual_clock clock_;
    std::uint64_t sequence_ = 0;
    std::vector<event> heap_;
};

} // namespace turmericlane::bench
