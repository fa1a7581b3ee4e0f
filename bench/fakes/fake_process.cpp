#include "fake_process.h"

namespace turmericlane::bench
{

fake_process::fake_process(event_queue& events)
    : events_(events)
{
}

void fake_process::deliver(event_queue::action callback)
{
    if (is_paused())
        events_.schedule_at(resume_time_, std::move(callback));
    else
        callback();
}

void fake_process::pause_until(time_point resume_time) noexcept
{
    resume_time_ = resume_time;
}

bool fake_process::is_paused() const noexcept
{
    return events_.now() < resume_time_;
}

} // namespace turmericlane::bench
