#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Single-use token for one booking. Only the process that issued it accepts
    it.

    Only the issuer can check the authentication code, because the key never
    leaves its process.

    @see ticket_issuer, booking_coordinator
*/
struct ticket
{
    /** HTTP address of the issuer, for the caller. */
    std::string issuer_address;
    ordinal issuer = 0;
    /** Start-up nonce of the issuer. */
    std::uint64_t issuer_nonce = 0;
    /** Serial number within the issuer, counted from 1. */
    std::uint64_t serial = 0;
    /** End of validity, measured on the issuer's clock from its start. */
    std::chrono::milliseconds expiry{};
    std::array<unsigned char, 32> authentication_code{};

    friend bool operator==(const ticket&, const ticket&) = default;
};

/** Returns the text form that callers receive and send back. */
std::string to_text(const ticket& value);

/** Parses the text form. Returns std::nullopt for malformed text; does not
    check the authentication code. */
std::optional<ticket> parse_ticket(std::string_view text);

} // namespace turmericlane
