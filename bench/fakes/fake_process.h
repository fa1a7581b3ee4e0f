#pragma once

#include "../driver/event_queue.h"

namespace turmericlane::bench
{

/** Simulates a process that can be paused. Events for a paused process are
    delayed until it resumes. */
class fake_process
{
public:
    explicit fake_process(event_queue& events);

    /** Runs a callback now, or in order when a paused process resumes. */
    void deliver(event_queue::action callback);

    /** Pauses the process until a point in time. */
    void pause_until(time_point resume_time) noexcept;

    bool is_paused() const noexcept;

private:
    event_queue& events_;
    time_point resume_time_{};
};

} // namespace turmericlane::bench
