#pragma once

#include "booking_messages.h"

#include <vector>

namespace turmericlane
{

/** Identifies a caller's HTTP request within the daemon. */
using caller_id = std::uint64_t;

/** Identifies a forwarded booking within the entry that forwarded it. */
using forward_id = std::uint64_t;

/** What a booking_coordinator asks of its surroundings. Calls come from inside
    the coordinator's own methods; the implementation must not call back into
    the coordinator, also when the owner is this instance.

    @see booking_coordinator
*/
class booking_actions
{
public:
    virtual ~booking_actions() = default;

    /** Answers a caller; once for each on_booking. */
    virtual void answer(caller_id caller, const booking_answer& answer) = 0;

    /** Hands a booking_forward frame to the session with the issuer.
        @returns false only if no byte of it can leave: there is no session with
                 that process */
    virtual bool send_forward(
        ordinal issuer,
        std::uint64_t issuer_nonce,
        forward_id id,
        const booking_request& request) = 0;

    /** Answers an entry that forwarded a booking (booking_reply). */
    virtual void reply_forward(
        ordinal entry,
        std::uint64_t entry_nonce,
        forward_id id,
        const booking_answer& answer) = 0;

    /** Hands a booking_execute frame to the session with the owner, or to the
        local booking_executor.
        @returns false only if no byte of it can leave: there is no session with
                 that process */
    virtual bool
    send_execute(const booking_owner& owner, const booking_frame& frame) = 0;
};

/** What a booking_coordinator has to know about bundle and fleet.

    @see booking_coordinator
*/
class booking_directory
{
public:
    virtual ~booking_directory() = default;

    /** The group that a key of a service belongs to, or the reason why there is
        none: unknown_service, unknown_group, not_bookable, no_bundle. */
    virtual result<group_id, reason>
    group_of(std::uint32_t service, std::string_view key) const = 0;

    /** Candidate owners of a group that are live and reachable, in order of
        preference. */
    virtual std::vector<booking_owner> owners_of(group_id group) const = 0;

    /** True if the process with that nonce is the one reachable under that
        ordinal. */
    virtual bool reachable(ordinal index, std::uint64_t nonce) const = 0;
};

/** What a booking_executor asks of its surroundings. Calls come from inside the
    executor's own methods; the implementation must not call back into it.

    @see booking_executor
*/
class booking_backend
{
public:
    virtual ~booking_backend() = default;

    /** Asks for a connection to a searcher of the group. Ends with exactly one
        of booking_executor::on_connected and on_connect_failed. */
    virtual void connect(const booking_key& id, group_id group) = 0;

    /** Writes the request to the connection; the first byte may leave now.
        Ends with exactly one of booking_executor::on_reply, on_refused and
        on_lost. */
    virtual void write(const booking_frame& frame, duration time_left) = 0;

    /** The connection is not needed: no byte was written. */
    virtual void release(const booking_key& id) = 0;

    /** Answers the issuer (booking_reply). */
    virtual void reply(
        ordinal issuer,
        const booking_key& id,
        const booking_answer& answer) = 0;
};

} // namespace turmericlane
