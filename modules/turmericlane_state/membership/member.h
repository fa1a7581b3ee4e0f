#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace turmericlane
{

/** State of a member. Of two statements with the same incarnation, the one with
    the later state in this order wins. */
enum class member_state : std::uint8_t
{
    live,
    /** Stops soon. It still serves, but callers are no longer referred to
        it. */
    leaving,
    /** Two instances could not reach it; in a fleet of two, one. */
    suspect,
    /** It did not refute the suspicion in time, or another process uses its
        endpoint now. */
    gone
};

/** Returns the name of a state as used in status, metrics and logs. */
std::string_view to_string(member_state state) noexcept;

/** Address and ports on which an instance listens. */
struct endpoint
{
    /** Numeric IP address. */
    std::string address;
    std::uint16_t peer_port = 0;
    std::uint16_t http_port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;

    friend bool operator<(const endpoint& a, const endpoint& b)
    {
        return std::tie(a.address, a.peer_port, a.http_port) <
               std::tie(b.address, b.peer_port, b.http_port);
    }
};

/** Record of one process of the fleet, as sent in heartbeats and exchanges. */
struct member
{
    endpoint listen_endpoint;
    std::string data_centre;
    ordinal index = 0;
    /** Random number of one start of a process. A restarted process has a new
        nonce and is a new member. */
    std::uint64_t nonce = 0;
    /** Raised by the member itself to refute a suspicion. */
    std::uint32_t incarnation = 0;
    member_state state = member_state::live;
    /** Processor share in thousandths of a core; 0 if not known. */
    std::uint32_t capacity = 0;

    friend bool operator==(const member&, const member&) = default;
};

/** An entry of the platform's instance list, which lags behind. */
struct listed_instance
{
    endpoint listen_endpoint;
    std::string data_centre;
    ordinal index = 0;
    bool leaving = false;
};

/** Report of one instance that it cannot reach another. */
struct suspicion
{
    /** Nonce of the reporting member. */
    std::uint64_t reporter = 0;
    /** Nonce of the member that did not answer. */
    std::uint64_t subject = 0;
    /** Incarnation of that member. */
    std::uint32_t incarnation = 0;

    friend bool operator==(const suspicion&, const suspicion&) = default;

    friend bool operator<(const suspicion& a, const suspicion& b)
    {
        return std::tie(a.subject, a.incarnation, a.reporter) <
               std::tie(b.subject, b.incarnation, b.reporter);
    }
};

/** Content of a heartbeat, of its acknowledgement, and of the two messages of
    an exchange of the whole table. */
struct membership_message
{
    enum class type : std::uint8_t
    {
        heartbeat,
        acknowledgement,
        /** All records of the sender. */
        exchange,
        /** Records that the sender of the exchange lacks or has with other
            content. */
        exchange_reply
    };

    type kind = type::heartbeat;
    /** The sender's own record. */
    member sender;
    /** Number of the heartbeat; its acknowledgement carries the same. */
    std::uint64_t sequence = 0;
    /** Digest of the sender's table. */
    std::uint64_t digest = 0;
    std::vector<member> members;
    std::vector<suspicion> suspicions;
};

/** Returns an upper estimate of the encoded size of a record. */
std::size_t encoded_bytes(const member& record);

/** Returns an upper estimate of the encoded size of a message, including its
    frame. */
std::size_t encoded_bytes(const membership_message& message);

} // namespace turmericlane
