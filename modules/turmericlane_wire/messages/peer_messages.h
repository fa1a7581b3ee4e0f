#pragma once

#include "../session/session_keys.h"

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_decisions/messages/search_messages.h>

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
struct booking_forward
{
    /** Id under which the sender awaits the booking_reply. */
    query_id id;
    /** The caller's own id. */
    std::string caller_request;
    std::string ticket;
    std::string service;
    std::string key;
    std::string payload;
    rank work = rank::ordinary;
    /** Time that is left at the moment of sending; not negative. */
    duration time_left{};
};

/** A booking on its way from the issuer to the owner of its group. */
struct booking_execute
{
    /** Id under which the issuer awaits the booking_reply. */
    query_id id;
    group_id group;
    /** Id that the backend server gets as X-Request-Id. */
    std::string request;
    std::string key;
    std::string payload;
    rank work = rank::ordinary;
    /** Time that is left at the moment of sending; not negative. */
    duration time_left{};
};

/** Answer to a booking_forward or booking_execute. */
struct booking_reply
{
    query_id id;
    verdict state;
    /** What the backend server answered, if it ran. */
    std::string result;
};

/** State of an instance in a sender's view. The values go over the wire. */
enum class member_state_code : std::uint8_t
{
    live,
    leaving,
    suspect,
    gone
};

/** What a sender knows of one instance. */
struct member_update
{
    std::string address;
    std::uint16_t peer_port = 0;
    std::uint16_t http_port = 0;
    std::string data_centre;
    ordinal instance = 0;
    std::uint64_t nonce = 0;
    std::uint64_t incarnation = 0;
    member_state_code state = member_state_code::live;
    /** Instance that observed the state itself. */
    ordinal reporter = 0;

    friend bool
    operator==(const member_update&, const member_update&) = default;
};

/** Sign of life, with changes of the membership. */
struct heartbeat
{
    /** Number that a reply repeats. */
    std::uint64_t number = 0;
    /** True for the answer to a heartbeat. */
    bool reply = false;
    /** True if members holds everything that the sender knows, and the receiver
        shall answer in the same way. */
    bool full_state = false;
    std::vector<member_update> members;
};

/** Asks for a newer bundle. */
struct bundle_request
{
    /** Version that the sender has; a delta may start from it. 0 for none. */
    std::uint64_t have_version = 0;
};

/** Changes from one version of the bundle to a later one. */
struct bundle_delta
{
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    /** RFC 6902 patch, JSON text. */
    std::string patch;
    /** Signature of the whole bundle after the patch, hexadecimal. */
    std::string signature;
    std::string key_id;
};

/** A whole bundle. */
struct bundle_full
{
    std::uint64_t version = 0;
    /** Signed envelope, JSON text. */
    std::string envelope;
};

} // namespace turmericlane
