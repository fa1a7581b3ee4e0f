#pragma once

#include "ticket.h"

#include <array>

namespace turmericlane
{

/** Issues tickets and recognises its own.

    The daemon draws the key from libsodium's random source once per process.
    One thread uses it at a time.

    @see booking_coordinator
*/
class ticket_issuer
{
public:
    using key_type = std::array<unsigned char, 32>;

    /** @param address   HTTP address of this instance, without '/'
        @param self      ordinal of this instance
        @param nonce     start-up nonce of this instance
        @param key       secret key of this process
        @param time      clock; must outlive the issuer
        @param lifetime  validity of a ticket, in whole milliseconds */
    ticket_issuer(
        std::string address,
        ordinal self,
        std::uint64_t nonce,
        const key_type& key,
        const clock& time,
        duration lifetime);

    /** Issues the next ticket. */
    ticket issue();

    /** True if this process issued the ticket and no field was altered. */
    bool authentic(const ticket& value) const;

    /** End of validity on this process's time line. */
    time_point expiry(const ticket& value) const;

    /** Ordinal of this instance. */
    ordinal self() const noexcept
    {
        return self_;
    }

    /** Start-up nonce of this instance. */
    std::uint64_t nonce() const noexcept
    {
        return nonce_;
    }

private:
    std::array<unsigned char, 32> code_of(const ticket& value) const;

    std::string address_;
    ordinal self_;
    std::uint64_t nonce_;
    key_type key_;
    const clock& clock_;
    duration lifetime_;
    time_point started_;
    std::uint64_t last_serial_ = 0;
};

} // namespace turmericlane
