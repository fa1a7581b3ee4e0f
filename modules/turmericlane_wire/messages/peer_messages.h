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

/** State of the sender, which every message carries. */
struct message_header
{
    /** Random number that the sending process drew when it started. */
    std::uint64_t nonce = 0;
    ordinal sender = 0;
    /** Version of the bundle that is in force at the sender. */
    std::uint64_t bundle_version = 0;

    friend bool
    operator==(const message_header&, const message_header&) = default;
};

/** First message of each side of a connection. Each side sends it once more,
    signed with the session key, to prove that the first one was not a replay of
    a recorded one. */
struct hello_message
{
    session_nonce nonce{};

    friend bool
    operator==(const hello_message&, const hello_message&) = default;
};

/** Replies of an owner for one or more groups. */
struct shard_reply_batch
{
    std::vector<shard_reply> replies;
};

/** Tells an owner that the entry no longer needs the answers to a query. */
struct cancel_message
{
    query_id id;
};

/** A booking that an instance forwards to the one that issued its ticket. */
struct booking_forward_message
{
    /** Id with which the sender finds the request when the reply arrives. */
    forward_id id = 0;
    /** Its deadline is not sent; the receiver computes it from time_left. */
    booking_request request;
    /** Time from sending to the deadline; not negative. */
    duration time_left{};
};

/** A booking that the issuer of its ticket sends to the owner of its group. */
struct booking_execute_message
{
    booking_frame frame;
};

/** Reply to a booking_forward_message or booking_execute_message. */
struct booking_reply_message
{
    /** True if it is the reply to a booking_forward_message. */
    bool is_forward_reply = false;
    /** Id of the booking_forward_message that it replies to. */
    forward_id forward_message_id = 0;
    /** Booking of the booking_execute_message that it replies to. */
    booking_key booking;
    booking_answer answer;
};

/** Reports that a searcher said itself that it is leaving. */
struct departure_message
{
    std::string searcher_id;
    /** Process of the searcher that is leaving. */
    std::uint64_t incarnation = 0;

    friend bool
    operator==(const departure_message&, const departure_message&) = default;
};

/** Reports how often requests to searchers got no usable answer lately. */
struct failure_report_message
{
    /** What the sender has seen of one searcher. */
    struct count
    {
        std::string searcher_id;
        std::uint32_t requests = 0;
        /** At most as many as requests. */
        std::uint32_t failures = 0;

        friend bool operator==(const count&, const count&) = default;
    };

    std::vector<count> counts;

    friend bool operator==(
        const failure_report_message&, const failure_report_message&) = default;
};

/** Asks a peer for a newer bundle. */
struct bundle_request_message
{
    /** Bundle version of the sender, 0 if it has no bundle. The reply may be a
        delta from this version. */
    std::uint64_t current_version = 0;
};

/** Changes from one bundle version to a later one.

    @see bundle_delta
*/
struct bundle_delta_message
{
    /** JSON text of the delta, with the signature of the whole bundle. */
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
