#pragma once

#include "ticket.h"

#include <string>
#include <tuple>

namespace turmericlane
{

/** A booking of a caller, as it arrives by HTTP or in a booking_forward
    frame. */
struct booking_request
{
    ticket permit;
    std::uint32_t service = 0;
    /** Selects the group within the service. */
    std::string key;
    std::string payload;
    rank work = rank::urgent;
    /** When the answer must be ready to leave this instance. */
    time_point deadline;
};

/** What a caller, a forwarding entry or an issuer is told about a booking. */
struct booking_answer
{
    verdict state;
    /** HTTP status of the backend server if the booking ran, otherwise 0. */
    int status = 0;
    /** The backend server's reply if the booking ran. */
    std::string body;

    friend bool
    operator==(const booking_answer&, const booking_answer&) = default;
};

/** Identifies a booking in the fleet. */
struct booking_key
{
    std::uint64_t issuer_nonce = 0;
    std::uint64_t serial = 0;

    friend bool operator==(const booking_key&, const booking_key&) = default;

    friend bool operator<(const booking_key& a, const booking_key& b)
    {
        return std::tie(a.issuer_nonce, a.serial) <
               std::tie(b.issuer_nonce, b.serial);
    }
};

/** The frame from the issuer to the owner of the group (booking_execute). */
struct booking_frame
{
    booking_key id;
    /** The process that may execute it; a process that was started later under
        the same ordinal may not, since its predecessor's records are lost. */
    std::uint64_t owner_nonce = 0;
    group_id group;
    std::string key;
    std::string payload;
    rank work = rank::urgent;
    /** Time in which the first byte may be sent, from the send of the frame. */
    duration time_left{};
};

/** A process that owns the connections to a group. */
struct booking_owner
{
    ordinal index = 0;
    std::uint64_t nonce = 0;

    friend bool
    operator==(const booking_owner&, const booking_owner&) = default;
};

} // namespace turmericlane
