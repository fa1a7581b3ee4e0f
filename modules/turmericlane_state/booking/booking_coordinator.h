#pragma once

#include "booking_actions.h"
#include "ticket_issuer.h"

#include <memory>

namespace turmericlane
{

/** Limits of a booking_coordinator. */
struct booking_limits
{
    /** Highest number of ticket records; no ticket is issued beyond it. */
    std::size_t max_tickets = 100'000;
    /** Time for which a record is kept after its ticket has expired. */
    duration grace_period = std::chrono::minutes(10);
    /** Highest number of callers and entries that wait for one booking. */
    std::size_t max_waiters_per_ticket = 16;
    /** Highest number of forwarded bookings that wait for their issuer. */
    std::size_t max_forwards = 10'000;
};

/** Handles bookings as their entry and as the issuer of their tickets: sends
    each booking to an owner at most once and answers repeated requests from the
    record of the first.

    The verdict on a ticket is final. After an answer of not_run the ticket
    never runs, so the caller can rely on it even if answers arrive in another
    order, and needs a new ticket to try again. Only the issuer answers not_run
    for a ticket. An entry that cannot reach the issuer answers may_have_run,
    because an earlier request may have run through another entry.

    This class does no I/O: it receives events and acts through booking_actions.
    Not thread-safe: only one thread may call it at a time.

    @see ticket_issuer, booking_executor
*/
class booking_coordinator
{
public:
    /** The references must outlive the coordinator.
        @param issuer     issues this process's tickets
        @param limits     limits on records and waiting requests
        @param time       clock
        @param directory  looks up groups and instances
        @param actions    sends frames and answers */
    booking_coordinator(
        ticket_issuer& issuer,
        const booking_limits& limits,
        const clock& time,
        const booking_directory& directory,
        booking_actions& actions);
    ~booking_coordinator();
    booking_coordinator(const booking_coordinator&) = delete;
    booking_coordinator& operator=(const booking_coordinator&) = delete;

    /** Issues a ticket, or returns the reason why not: ticket_table_full or
        instance_leaving. */
    result<ticket, reason> issue();

    /** Handles a booking of a caller, also while this instance drains. The HTTP
        front end refuses requests whose ticket is missing or malformed. */
    void on_booking(caller_id caller, const booking_request& request);

    /** Handles the end of a caller's connection: the caller gets no answer, but
        its booking continues. */
    void on_caller_gone(caller_id caller);

    /** Handles a booking that another entry forwarded. It is never forwarded a
        second time. */
    void on_forward(
        ordinal entry,
        std::uint64_t entry_nonce,
        forward_id id,
        const booking_request& request);

    /** Handles the issuer's answer to a booking that this instance forwarded.
     */
    void on_forward_reply(forward_id id, const booking_answer& answer);

    /** Handles a reply of the owner. Ignores a reply that matches no booking or
        arrives after the outcome is known. A reply that arrives after
        on_peer_lost still sets the outcome for repeated requests. */
    void on_execute_reply(const booking_key& id, const booking_answer& answer);

    /** Handles the loss of the session with a process and of all frames in
        transit on it. */
    void on_peer_lost(ordinal index, std::uint64_t nonce);

    /** Stops issuing tickets and sending new bookings. Repeated requests are
        still answered. */
    void start_draining();

    /** Answers requests whose deadline has passed and removes expired records.
        To be called at or after next_wakeup. */
    void on_timer();

    /** Returns the time at which on_timer has to be called;
        time_point::max() for never. */
    time_point next_wakeup() const;

    /** Returns the number of ticket records. */
    std::size_t ticket_count() const;

    /** Returns the number of callers and entries that wait for an answer. A
        drain waits until it is zero. */
    std::size_t in_flight() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
