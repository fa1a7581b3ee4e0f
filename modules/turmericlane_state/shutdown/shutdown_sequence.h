#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstddef>
#include <string_view>

namespace turmericlane
{

/** Phase of an instance's shutdown. */
enum class shutdown_phase : std::uint8_t
{
    serving,
    /** Not listed, but serves until cached answers have expired. */
    leaving,
    /** Refuses new requests; those in flight finish. */
    draining,
    stopped
};

/** Returns the name that status, metrics and logs use. */
std::string_view to_string(shutdown_phase value) noexcept;

/** What a shutdown_sequence asks of its surroundings, each once. The
    implementation must not call back.

    @see shutdown_sequence
*/
class shutdown_actions
{
public:
    virtual ~shutdown_actions() = default;

    /** No longer name this instance in answers, and tell the peers
        (membership_table::start_leaving). */
    virtual void leave() = 0;

    /** Refuse new requests with not_run/instance_leaving
        (booking_coordinator::start_draining). */
    virtual void drain() = 0;

    /** Stop the process.
        @param cut_off  requests in flight that get no answer */
    virtual void stop(std::size_t cut_off) = 0;
};

/** Periods of a shutdown_sequence. */
struct shutdown_limits
{
    /** Time in `leaving`: the lifetime of instance answers and some more. */
    duration leaving = std::chrono::seconds(12);
    /** From the first SIGTERM to the end, whatever is in flight. */
    duration total = std::chrono::seconds(60);
};

/** Leads an instance from SIGTERM to its end without cutting off a request.

    Decision code: one thread calls it at a time.

    @see startup_gate
*/
class shutdown_sequence
{
public:
    /** @param limits   periods
        @param time     clock; must outlive the sequence
        @param actions  receives the actions; must outlive the sequence */
    shutdown_sequence(
        const shutdown_limits& limits,
        const clock& time,
        shutdown_actions& actions);

    /** SIGTERM. The second one ends the shutdown at once. */
    void on_terminate();

    /** Tells how many requests are in flight, as entry and as owner. While
        draining, zero ends the shutdown; only a count that was taken after
        shutdown_actions::drain is used for that. */
    void on_in_flight(std::size_t count);

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** The current phase. */
    shutdown_phase phase() const noexcept
    {
        return phase_;
    }

private:
    void drain();
    void stop();

    shutdown_limits limits_;
    const clock& clock_;
    shutdown_actions& actions_;
    shutdown_phase phase_ = shutdown_phase::serving;
    time_point drain_at_ = time_point::max();
    time_point stop_at_ = time_point::max();
    std::size_t in_flight_ = 0;
};

} // namespace turmericlane
