#pragma once

#include "event_loop.h"

#include <vector>

namespace turmericlane
{

/** A part of the daemon whose decision code runs on the engine's loop.

    @see engine
*/
class loop_component
{
public:
    virtual ~loop_component() = default;

    /** Runs due timers and sends what was gathered in this turn.
        @returns when to be called again; time_point::max() for never */
    virtual time_point on_iteration() = 0;

    /** The process stood still for that long. */
    virtual void on_pause(duration) {}
};

/** The service "engine": the clock, and the one thread that owns the state of
    all decisions.

    @see event_loop, turn_participant
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

    /** Adds a participant, which must outlive the loop's thread. Runs on the
        loop; waits for it. */
    void add(loop_component& component);

    /** Real time of this process. */
    const clock& time_source() const noexcept
    {
        return clock_;
    }

    /** Adds a task to the loop; any thread may call. */
    bool post(event_loop::task new_task)
    {
        return loop_.post(std::move(new_task));
    }

    /** Runs a task on the loop and waits for its end. Not to be called on the
        loop. */
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
