#pragma once

#include "ticket.h"

#include <string>
#include <tuple>

namespace turmericlane
{

/** A caller's booking, received by HTTP or in a booking_forward frame. */
struct booking_request
{
    ticket booking_ticket;
    std::uint32_t service = 0;
    /** Key that selects the group within the service. */
    std::string key;
    std::string payload;
    rank request_rank = rank::urgent;
    /** Time by which this instance must answer. */
    time_point deadline;
};

/** The answer to a booking, for a caller, a forwarding entry or an issuer. */
struct booking_answer
{
    verdict final_verdict;
    /** HTTP status of the backend server if the booking ran; otherwise 0. */
    int status = 0;
    /** Body of the backend server's reply if the booking ran; otherwise
        empty. */
    std::string body;

    friend bool
    operator==(const booking_answer&, const booking_answer&) = default;
};

/** Identifies a booking among all instances. */
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
    /** Start-up nonce of the process that may execute the booking. A process
        started later under the same ordinal must not execute it, because the
        records of the earlier process are lost. */
    std::uint64_t owner_nonce = 0;
    group_id group;
    std::string key;
    std::string payload;
    rank request_rank = rank::urgent;
    /** Time limit for sending the first byte to the searcher, counted from the
        sending of this frame. */
    duration time_left{};
};

/** A process that queues the requests for a group and sends them. */
struct booking_owner
{
    ordinal index = 0;
    std::uint64_t nonce = 0;

    friend bool
    operator==(const booking_owner&, const booking_owner&) = default;
};

} // namespace turmericlane
