#pragma once

#include "booking_actions.h"

#include <memory>

namespace turmericlane
{

/** Bounds of a booking_executor. */
struct executor_limits
{
    /** Bookings remembered at most. */
    std::size_t records = 200'000;
    /** How long a booking is remembered from its arrival. Has to exceed the
        lifetime of tickets. */
    duration retention = std::chrono::minutes(15);
};

/** The owner's side of bookings: executes each at most once and says not_run
    only if no byte of it can have left this process.

    Below the serials that it has forgotten it refuses everything from that
    issuer. Serials follow the order of issue, so every ticket below is expired.

    Decision code: events go in, actions come out through booking_backend. One
    thread calls it at a time.

    @see booking_coordinator
*/
class booking_executor
{
public:
    /** The references must outlive the executor.
        @param nonce    start-up nonce of this instance
        @param limits   bounds
        @param time     clock
        @param backend  receives the actions */
    booking_executor(
        std::uint64_t nonce,
        const executor_limits& limits,
        const clock& time,
        booking_backend& backend);
    ~booking_executor();
    booking_executor(const booking_executor&) = delete;
    booking_executor& operator=(const booking_executor&) = delete;

    /** A booking_execute frame arrived; the caller has checked that its issuer
        nonce is that of the session. A repeated frame gets the stored answer or
        that of the execution in flight. */
    void on_frame(ordinal issuer, const booking_frame& frame);

    /** A connection is there. Checks the time again, because the process may
        have been paused, and then writes or releases it. */
    void on_connected(const booking_key& id);

    /** There is no connection to any searcher of the group.
        @param why  connect_failed, no_replica or queue_full */
    void on_connect_failed(const booking_key& id, reason why);

    /** The backend server executed the booking. */
    void on_reply(const booking_key& id, int status, std::string body);

    /** The backend server stated that it refused without running it.
        @param why  shed_by_server or server_draining */
    void on_refused(const booking_key& id, reason why);

    /** The connection broke, the reply could not be parsed or did not come in
        time, after a byte may have left. */
    void on_lost(const booking_key& id);

    /** A process is gone for good: its records go once they are old. */
    void on_issuer_gone(std::uint64_t nonce);

    /** From now on, bookings that arrive for the first time are answered with
        not_run/instance_leaving. */
    void start_draining();

    /** To be called at or after next_wakeup. A booking that waits for a
        connection beyond its time is answered with not_run; the connection is
        released when it comes. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Bookings without an outcome. A drain waits for zero. */
    std::size_t in_flight() const;

    /** Bookings that are remembered. */
    std::size_t records() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
