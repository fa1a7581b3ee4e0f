#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace turmericlane
{

/** State of an instance. At equal incarnation the later one here wins. */
enum class member_state : std::uint8_t
{
    live,
    /** Stops soon; still serves, but is named to no caller. */
    leaving,
    /** Two instances could not reach it. */
    suspect,
    /** It did not refute the suspicion in time, or another process took its
        address. */
    gone
};

/** Returns the name that status, metrics and logs use. */
std::string_view to_string(member_state value) noexcept;

/** Where an instance listens. */
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

/** One process of the fleet, as heartbeats and exchanges carry it. */
struct member
{
    endpoint where;
    std::string data_centre;
    ordinal index = 0;
    /** Drawn at each start; another nonce is another member. */
    std::uint64_t nonce = 0;
    /** Raised by the member itself to refute a suspicion. */
    std::uint32_t incarnation = 0;
    member_state state = member_state::live;
    /** Processor share in thousandths of a core; 0 if not known. */
    std::uint32_t capacity = 0;

    friend bool operator==(const member&, const member&) = default;
};

/** An entry of the platform's lagging instance list. */
struct listed_instance
{
    endpoint where;
    std::string data_centre;
    ordinal index = 0;
    bool leaving = false;
};

/** One instance's statement that it cannot reach another. */
struct suspicion
{
    /** Nonce of the reporter. */
    std::uint64_t reporter = 0;
    /** Nonce and incarnation of the member that did not answer. */
    std::uint64_t subject = 0;
    std::uint32_t incarnation = 0;

    friend bool operator==(const suspicion&, const suspicion&) = default;

    friend bool operator<(const suspicion& a, const suspicion& b)
    {
        return std::tie(a.subject, a.incarnation, a.reporter) <
               std::tie(b.subject, b.incarnation, b.reporter);
    }
};

/** Content of a heartbeat frame, of its acknowledgement, and of the two frames
    of a full exchange. */
struct membership_message
{
    enum class type : std::uint8_t
    {
        heartbeat,
        acknowledgement,
        /** All records of the sender. */
        exchange,
        /** The records that the receiver of an exchange knows better. */
        exchange_reply
    };

    type kind = type::heartbeat;
    /** The sender's own record. */
    member sender;
    /** Pairs an acknowledgement with its heartbeat. */
    std::uint64_t sequence = 0;
    /** Digest of the sender's table. */
    std::uint64_t digest = 0;
    std::vector<member> members;
    std::vector<suspicion> suspicions;
};

/** Upper estimate of a record's encoded size. */
std::size_t encoded_bytes(const member& value);

/** Upper estimate of a message's encoded size, frame included. */
std::size_t encoded_bytes(const membership_message& message);

} // namespace turmericlane
