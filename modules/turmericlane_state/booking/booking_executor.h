#pragma once

#include "booking_actions.h"

#include <memory>

namespace turmericlane
{

/** Limits of a booking_executor. */
struct executor_limits
{
    /** Highest number of booking records. */
    std::size_t max_records = 200'000;
    /** Time for which a record is kept, counted from the arrival of the
        booking. Must exceed the lifetime of tickets. */
    duration retention = std::chrono::minutes(15);
};

/** Handles bookings as the owner of their group: executes each at most once and
    answers not_run only if no byte of it can have been sent to a searcher.

    Once it has removed the record of a serial, it executes no booking of that
    issuer with this or a lower serial. Serials follow the order of issue, so
    the tickets of all lower serials have expired too.

    This class does no I/O: it receives events and acts through booking_backend.
    Not thread-safe: only one thread may call it at a time.

    @see booking_coordinator
*/
class booking_executor
{
public:
    /** The references must outlive the executor.
        @param nonce    start-up nonce of this instance
        @param limits   limits on the records
        @param time     clock
        @param backend  connects to searchers and sends replies */
    booking_executor(
        std::uint64_t nonce,
        const executor_limits& limits,
        const clock& time,
        booking_backend& backend);
    ~booking_executor();
    booking_executor(const booking_executor&) = delete;
    booking_executor& operator=(const booking_executor&) = delete;

    /** Handles a booking_execute frame. Precondition: the frame's issuer nonce
        is that of the session's peer. A repeated frame gets the stored answer,
        or the answer of the execution in flight once there is one. */
    void on_frame(ordinal issuer, const booking_frame& frame);

    /** Handles a new connection. Checks the time again, because the process may
        have been paused, and then writes the request or releases the
        connection. */
    void on_connected(const booking_key& id);

    /** Handles the failure to connect to any searcher of the group.
        @param cause  connect_failed, no_replica or queue_full */
    void on_connect_failed(const booking_key& id, reason cause);

    /** Handles the reply of a searcher that executed the booking. */
    void on_reply(const booking_key& id, int status, std::string body);

    /** Handles a searcher's statement that it rejected the booking without
        running it.
        @param cause  shed_by_server or server_draining */
    void on_rejected(const booking_key& id, reason cause);

    /** Handles a failure after a byte may have been sent: the connection broke,
        or the reply was malformed or late. */
    void on_reply_lost(const booking_key& id);

    /** Handles the end of an issuer's process: its state is removed with its
        last record. */
    void on_issuer_gone(std::uint64_t nonce);

    /** From now on, bookings that arrive for the first time are answered with
        not_run and instance_leaving. */
    void start_draining();

    /** Answers with not_run each booking that waits for a connection beyond its
        time limit, and removes old records. A connection that is established
        later is released. To be called at or after next_wakeup. */
    void on_timer();

    /** Returns the time at which on_timer has to be called;
        time_point::max() for never. */
    time_point next_wakeup() const;

    /** Returns the number of bookings without an outcome. A drain waits until
        it is zero. */
    std::size_t in_flight() const;

    /** Returns the number of booking records. */
    std::size_t record_count() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
