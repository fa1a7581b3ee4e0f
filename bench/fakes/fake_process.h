#pragma once

#include "../driver/event_queue.h"

namespace turmericlane::bench
{

/** A process that can be paused: what reaches it meanwhile waits until it
    wakes. */
class fake_process
{
public:
    explicit fake_process(event_queue& events);

    /** Runs now, or in order when the process wakes. */
    void deliver(event_queue::action what);

    /** Stops the process until a point. */
    void pause_until(time_point wake) noexcept;

    bool paused() const noexcept;

private:
    event_queue& events_;
    time_point wake_{};
};

} // namespace turmericlane::bench
