#include "fake_process.h"

namespace turmericlane::bench
{

fake_process::fake_process(event_queue& events)
    : events_(events)
{
}

void fake_process::deliver(event_queue::action what)
{
    if (paused())
        events_.at(wake_, std::move(what));
    else
        what();
}

void fake_process::pause_until(time_point wake) noexcept
{
    wake_ = wake;
}

bool fake_process::paused() const noexcept
{
    return events_.now() < wake_;
}

} // namespace turmericlane::bench
