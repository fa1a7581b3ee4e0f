#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Permission for one booking, issued by one process and executed by it alone.

    Only the issuer can check the authentication code, because its key never
    leaves the process.

    @see ticket_issuer, booking_coordinator
*/
struct ticket
{
    /** Address of the issuer's HTTP front end, for the caller. */
    std::string issuer_address;
    ordinal issuer = 0;
    /** Start-up nonce of the issuer. */
    std::uint64_t issuer_nonce = 0;
    /** Counter within the issuer, from 1. */
    std::uint64_t serial = 0;
    /** End of validity in the issuer's own time, from its start. */
    std::chrono::milliseconds expiry{};
    std::array<unsigned char, 32> code{};

    friend bool operator==(const ticket&, const ticket&) = default;
};

/** Returns the text form that callers keep and send back. */
std::string to_text(const ticket& value);

/** Parses the text form. Returns nothing for malformed text; the
    authentication code is not checked. */
std::optional<ticket> parse_ticket(std::string_view text);

} // namespace turmericlane
