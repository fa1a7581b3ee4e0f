#pragma once

#include "event_loop.h"

#include <vector>

namespace turmericlane
{

/** A part of the daemon whose decision code runs on the engine's loop.

    @see engine
*/
class turn_participant
{
public:
    virtual ~turn_participant() = default;

    /** Runs due timers and sends what was gathered in this turn.
        @returns when to be called again; time_point::max() for never */
    virtual time_point on_turn() = 0;

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
    void add(turn_participant& added);

    /** Real time of this process. */
    const clock& time() const noexcept
    {
        return clock_;
    }

    /** Adds a task to the loop; any thread may call. */
    bool post(event_loop::task added)
    {
        return loop_.post(std::move(added));
    }

    /** Runs a task on the loop and waits for its end. Not to be called on the
        loop. */
    bool call(const event_loop::task& called)
    {
        return loop_.call(called);
    }

private:
    time_point on_turn() override;
    void on_pause(duration length) override;

    monotonic_clock clock_;
    event_loop loop_;
    std::vector<turn_participant*> participants_;
};

} // namespace turmericlane
