#pragma once

#include "booking_messages.h"

#include <vector>

namespace turmericlane
{

/** Identifies a caller's HTTP request within this instance. */
using caller_id = std::uint64_t;

/** Identifies a forwarded booking within the entry that forwarded it. */
using forward_id = std::uint64_t;

/** Interface through which a booking_coordinator answers and sends.

    The coordinator calls these methods from inside its own methods. An
    implementation must not call back into the coordinator, not even when the
    owner is this instance.

    @see booking_coordinator
*/
class booking_actions
{
public:
    virtual ~booking_actions() = default;

    /** Answers a caller. Called once for each booking_coordinator::on_booking,
        unless on_caller_gone comes first. */
    virtual void answer(caller_id caller, const booking_answer& answer) = 0;

    /** Passes a booking_forward frame to the session with the issuer.
        @returns false only if no byte of the frame can have been sent, because
                 there is no session with that process */
    virtual bool send_forward(
        ordinal issuer,
        std::uint64_t issuer_nonce,
        forward_id id,
        const booking_request& request) = 0;

    /** Sends a booking_reply frame to an entry that forwarded a booking. */
    virtual void reply_forward(
        ordinal entry,
        std::uint64_t entry_nonce,
        forward_id id,
        const booking_answer& answer) = 0;

    /** Passes a booking_execute frame to the session with the owner, or to the
        local booking_executor.
        @returns false only if no byte of the frame can have been sent, because
                 there is no session with that process */
    virtual bool
    send_execute(const booking_owner& owner, const booking_frame& frame) = 0;
};

/** Interface through which a booking_coordinator looks up groups in the bundle
    and the instances that can be reached.

    @see booking_coordinator
*/
class booking_directory
{
public:
    virtual ~booking_directory() = default;

    /** Returns the group that a key of a service belongs to, or the reason why
        there is none: unknown_service, unknown_group, not_bookable or
        no_bundle. */
    virtual result<group_id, reason>
    group_of(std::uint32_t service, std::string_view key) const = 0;

    /** Returns the candidate owners of a group that are live and reachable, in
        order of preference. */
    virtual std::vector<booking_owner> owners_of(group_id group) const = 0;

    /** Returns true if the process that is reachable under the ordinal has that
        nonce. */
    virtual bool is_reachable(ordinal index, std::uint64_t nonce) const = 0;
};

/** Interface through which a booking_executor uses the searchers and replies.

    The executor calls these methods from inside its own methods. An
    implementation must not call back into the executor.

    @see booking_executor
*/
class booking_backend
{
public:
    virtual ~booking_backend() = default;

    /** Requests a connection to a searcher of the group. Exactly one call of
        booking_executor::on_connected or on_connect_failed follows. */
    virtual void connect(const booking_key& id, group_id group) = 0;

    /** Writes the request to the connection; its first byte may be sent from
        now on. Exactly one call of booking_executor::on_reply, on_rejected or
        on_reply_lost follows. */
    virtual void write(const booking_frame& frame, duration time_left) = 0;

    /** Returns a connection to which no byte was written. */
    virtual void release(const booking_key& id) = 0;

    /** Sends a booking_reply frame to the issuer. */
    virtual void reply(
        ordinal issuer,
        const booking_key& id,
        const booking_answer& answer) = 0;
};

} // namespace turmericlane
