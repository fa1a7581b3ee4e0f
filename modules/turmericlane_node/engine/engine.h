#pragma once

#include "event_loop.h"

#include <vector>

namespace turmericlane
{

/** A service whose decision code runs on the engine's loop.

    @see engine
*/
class loop_component
{
public:
    virtual ~loop_component() = default;

    /** Called in each iteration of the loop; runs due timers and sends the
        messages collected in the iteration.
        @returns when to be called next; time_point::max() if it need not be
                 called */
    virtual time_point on_iteration() = 0;

    /** The process was paused for that long. */
    virtual void on_pause(duration) {}
};

/** The service "engine": the clock, and the event loop whose thread owns all
    decision state.

    @see event_loop, loop_component
*/
class engine final : public service, public event_loop_listener
{
public:
    engine();

    std::string_view name() const noexcept override
    {
        return "engine";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** Adds a component, which must outlive the loop's thread. Waits until the
        loop has added it; must not be called on the loop. */
    void add(loop_component& component);

    /** Returns the clock of this process, which runs on real time. */
    const clock& time_source() const noexcept
    {
        return clock_;
    }

    /** Adds a task to the loop. Any thread may call.
        @returns false if the loop has stopped */
    bool post(event_loop::task new_task)
    {
        return loop_.post(std::move(new_task));
    }

    /** Runs a task on the loop and waits until it has ended. Must not be called
        on the loop.
        @returns false if the loop has stopped and the task did not run */
    bool run_and_wait(const event_loop::task& new_task)
    {
        return loop_.run_and_wait(new_task);
    }

private:
    time_point on_iteration() override;
    void on_pause(duration length) override;

    monotonic_clock clock_;
    event_loop loop_;
    std::vector<loop_component*> components_;
};

} // namespace turmericlane
