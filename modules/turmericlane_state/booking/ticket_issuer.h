#pragma once

#include "ticket.h"

#include <array>

namespace turmericlane
{

/** Issues tickets and authenticates the tickets of this process.

    The daemon generates the key with libsodium's random generator once per
    process. Not thread-safe: only one thread may use an issuer at a time.

    @see booking_coordinator
*/
class ticket_issuer
{
public:
    using key_type = std::array<unsigned char, 32>;

    /** @param address      HTTP address of this instance, without '/'
        @param own_ordinal  ordinal of this instance
        @param nonce        start-up nonce of this instance
        @param key          secret key of this process
        @param time         clock; must outlive the issuer
        @param lifetime     validity of a ticket, in whole milliseconds */
    ticket_issuer(
        std::string address,
        ordinal own_ordinal,
        std::uint64_t nonce,
        const key_type& key,
        const clock& time,
        duration lifetime);

    ticket issue();

    /** Returns true if this process issued the ticket and no field was
        altered. */
    bool is_authentic(const ticket& value) const;

    /** Returns the end of the ticket's validity on this process's clock.
        Precondition: this process issued the ticket. */
    time_point expiry(const ticket& value) const;

    /** Returns the ordinal of this instance. */
    ordinal own_ordinal() const noexcept
    {
        return own_ordinal_;
    }

    /** Returns the start-up nonce of this instance. */
    std::uint64_t nonce() const noexcept
    {
        return nonce_;
    }

private:
    std::array<unsigned char, 32>
    compute_authentication_code(const ticket& value) const;

    std::string address_;
    ordinal own_ordinal_;
    std::uint64_t nonce_;
    key_type key_;
    const clock& clock_;
    duration lifetime_;
    time_point start_time_;
    std::uint64_t last_serial_ = 0;
};

} // namespace turmericlane
