#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstddef>
#include <string_view>

namespace turmericlane
{

/** Phase of the shutdown of an instance. */
enum class shutdown_phase : std::uint8_t
{
    serving,
    /** Callers are no longer referred to it, but it serves until the answers
        that callers have cached expire. */
    leaving,
    /** Refuses new requests and finishes those in flight. */
    draining,
    stopped
};

/** Returns the name of a phase as used in status, metrics and logs. */
std::string_view to_string(shutdown_phase phase) noexcept;

/** Output interface of a shutdown_sequence. Each method is called at most once;
    an implementation must not call back into the sequence.

    @see shutdown_sequence
*/
class shutdown_actions
{
public:
    virtual ~shutdown_actions() = default;

    /** Stops referring callers to this instance and tells the peers
        (membership_table::start_leaving). */
    virtual void leave() = 0;

    /** Starts to refuse new requests with not_run/instance_leaving
        (booking_coordinator::start_draining). */
    virtual void drain() = 0;

    /** Stops the process.
        @param unanswered_count  requests in flight that get no answer */
    virtual void stop(std::size_t unanswered_count) = 0;
};

/** Periods of a shutdown_sequence. */
struct shutdown_limits
{
    /** Time in the leaving phase; has to be longer than the lifetime of
        instance answers. */
    duration leaving_time = std::chrono::seconds(12);
    /** Time from the first SIGTERM to the end, whatever is in flight. */
    duration total_time = std::chrono::seconds(60);
};

/** Runs the shutdown of an instance from SIGTERM to the end of the process, so
    that requests are answered before the process ends.

    The class does no I/O; one thread calls it at a time.

    @see startup_gate
*/
class shutdown_sequence
{
public:
    /** @param limits       periods of the phases
        @param time_source  clock; must outlive the sequence
        @param actions      carries out the phases; must outlive the sequence */
    shutdown_sequence(
        const shutdown_limits& limits,
        const clock& time_source,
        shutdown_actions& actions);

    /** The process received SIGTERM. The second one ends the shutdown at
        once. */
    void on_termination_signal();

    /** The same for a signal that waited until the process ran again.
        @param signal_time  when it may have been sent; the periods count from
                            then */
    void on_termination_signal(time_point signal_time);

    /** Sets how many requests are in flight, with this instance as entry or as
        owner. While draining, a count of zero ends the shutdown; only counts
        that are passed after shutdown_actions::drain do so. */
    void on_in_flight_count(std::size_t count);

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** Returns when on_timer has to be called next; time_point::max() if it
        need not be called. */
    time_point next_wakeup() const;

    shutdown_phase phase() const noexcept
    {
        return phase_;
    }

    /** Returns when the shutdown ends at the latest; time_point::max() while
        serving. */
    time_point stop_time() const noexcept
    {
        return stop_time_;
    }

private:
    void drain();
    void stop();

    shutdown_limits limits_;
    const clock& clock_;
    shutdown_actions& actions_;
    shutdown_phase phase_ = shutdown_phase::serving;
    time_point drain_time_ = time_point::max();
    time_point stop_time_ = time_point::max();
    std::size_t in_flight_ = 0;
};

} // namespace turmericlane
