#pragma once

#include "booking_actions.h"
#include "ticket_issuer.h"

#include <memory>

namespace turmericlane
{

/** Bounds of a booking_coordinator. */
struct booking_limits
{
    /** Tickets remembered at most; then none are issued. */
    std::size_t tickets = 100'000;
    /** How long a record outlives its ticket. */
    duration grace = std::chrono::minutes(10);
    /** Callers and entries that wait for one booking at most. */
    std::size_t waiting_per_ticket = 16;
    /** Bookings that wait for another issuer at most. */
    std::size_t forwards = 10'000;
};

/** Entry and issuer of bookings: sends each at most once, and answers repeats
    from the record of the first.

    A ticket has one final fate. Once not_run was said about it, it never runs,
    so a caller whose answers cross can trust it and has to take a new ticket to
    try again. Only the issuer says not_run about a ticket; an entry that cannot
    ask the issuer says may_have_run, because an earlier request may have run
    through another entry.

    Decision code: events go in, actions come out through booking_actions. One
    thread calls it at a time.

    @see ticket_issuer, booking_executor
*/
class booking_coordinator
{
public:
    /** The references must outlive the coordinator.
        @param issuer     issues this process's tickets
        @param limits     bounds
        @param time       clock
        @param directory  bundle and fleet
        @param actions    receives the actions */
    booking_coordinator(
        ticket_issuer& issuer,
        const booking_limits& limits,
        const clock& time,
        const booking_directory& directory,
        booking_actions& actions);
    ~booking_coordinator();
    booking_coordinator(const booking_coordinator&) = delete;
    booking_coordinator& operator=(const booking_coordinator&) = delete;

    /** Issues a ticket, or says why not: ticket_table_full or
        instance_leaving. */
    result<ticket, reason> issue();

    /** A caller's booking, also while this instance drains. A missing or
        malformed ticket is the HTTP front end's to refuse. */
    void on_booking(caller_id caller, const booking_request& request);

    /** The caller's connection closed: no answer is wanted. The booking goes
        on. */
    void on_caller_gone(caller_id caller);

    /** Another entry forwarded a booking. It is never forwarded again. */
    void on_forward(
        ordinal entry,
        std::uint64_t entry_nonce,
        forward_id id,
        const booking_request& request);

    /** The issuer answered a booking that this instance forwarded. */
    void on_forward_reply(forward_id id, const booking_answer& answer);

    /** The owner answered. Replies that match no booking, and replies after a
        known outcome, are ignored. A reply after on_peer_lost still settles the
        outcome for repeats. */
    void on_execute_reply(const booking_key& id, const booking_answer& answer);

    /** The session with that process is lost, with all frames in it. */
    void on_peer_lost(ordinal index, std::uint64_t nonce);

    /** From now on no tickets are issued and no booking is sent for the first
        time. Repeats are still answered. */
    void start_draining();

    /** To be called at or after next_wakeup: deadlines of those that wait, and
        expiry of records. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Tickets that are remembered. */
    std::size_t tickets() const;

    /** Callers and entries that wait for an answer. A drain waits for zero. */
    std::size_t in_flight() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
