#pragma once

#include "../session/session_keys.h"

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_decisions/messages/search_messages.h>
#include <turmericlane_state/turmericlane_state.h>

#include <cstdint>
#include <string>
#include <vector>

namespace turmericlane
{

/** What every message says about its sender. */
struct message_header
{
    /** Start-up nonce of the sending process. */
    std::uint64_t nonce = 0;
    ordinal sender = 0;
    /** Version of the bundle that the sender has in force. */
    std::uint64_t bundle_version = 0;

    friend bool
    operator==(const message_header&, const message_header&) = default;
};

/** First message of each side of a connection, and once more under the session
    key to prove that the sender is not a recording. */
struct hello_message
{
    session_nonce session{};

    friend bool
    operator==(const hello_message&, const hello_message&) = default;
};

/** Replies of an owner for one or several groups. */
struct shard_reply_batch
{
    std::vector<shard_reply> replies;
};

/** The entry no longer wants the parts of a query. */
struct cancel_message
{
    query_id id;
};

/** A booking on its way to the instance that issued its ticket. */
struct booking_forward_message
{
    /** Id under which the sender awaits the reply. */
    forward_id id = 0;
    /** The deadline is not carried; the receiver derives it from time_left. */
    booking_request request;
    /** Time that is left at the moment of sending; not negative. */
    duration time_left{};
};

/** A booking on its way from the issuer to the owner of its group. */
struct booking_execute_message
{
    booking_frame frame;
};

/** Answer to a booking_forward_message or booking_execute_message. */
struct booking_reply_message
{
    /** True if it answers a booking_forward_message. */
    bool forwarded = false;
    /** Id of the booking_forward_message. */
    forward_id forward = 0;
    /** Booking of the booking_execute_message. */
    booking_key booking;
    booking_answer answer;
};

/** Asks for a newer bundle. */
struct bundle_request_message
{
    /** Version that the sender has; a delta may start from it. 0 for none. */
    std::uint64_t have_version = 0;
};

/** Changes from one version of the bundle to a later one.

    @see bundle_delta
*/
struct bundle_delta_message
{
    /** JSON text of the delta, with the signature of the whole. */
    std::string text;
};

/** A whole bundle.

    @see envelope
*/
struct bundle_full_message
{
    /** JSON text of the signed envelope. */
    std::string text;
};

} // namespace turmericlane
