#include "ticket_issuer.h"

#include <cassert>
#include <sodium.h>

namespace turmericlane
{

static_assert(crypto_auth_KEYBYTES == 32 && crypto_auth_BYTES == 32);

ticket_issuer::ticket_issuer(
    std::string address,
    ordinal own_ordinal,
    std::uint64_t nonce,
    const key_type& key,
    const clock& time,
    duration lifetime)
    : address_(std::move(address))
    , own_ordinal_(own_ordinal)
    , nonce_(nonce)
    , key_(key)
    , clock_(time)
    , lifetime_(lifetime)
    , start_time_(time.now())
{
    assert(lifetime >= std::chrono::milliseconds(1));
    assert(address_.find('/') == std::string::npos);
}

ticket ticket_issuer::issue()
{
    ticket issued_ticket;
    issued_ticket.issuer_address = address_;
    issued_ticket.issuer = own_ordinal_;
    issued_ticket.issuer_nonce = nonce_;
    issued_ticket.serial = ++last_serial_;
    issued_ticket.expiry =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock_.now() - start_time_ + lifetime_);
    issued_ticket.authentication_code =
        compute_authentication_code(issued_ticket);
    return issued_ticket;
}

bool ticket_issuer::is_authentic(const ticket& value) const
{
    if (value.issuer != own_ordinal_ || value.issuer_nonce != nonce_)
        return false;
    auto expected = compute_authentication_code(value);
    return sodium_memcmp(
               expected.data(), value.authentication_code.data(),
               expected.size()) == 0;
}

time_point ticket_issuer::expiry(const ticket& value) const
{
    return start_time_ + value.expiry;
}

std::array<unsigned char, 32>
ticket_issuer::compute_authentication_code(const ticket& value) const
{
    auto unsigned_copy = value;
    unsigned_copy.authentication_code = {};
    auto text = to_text(unsigned_copy);
    std::array<unsigned char, 32> authentication_code;
    crypto_auth(
        authentication_code.data(),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(),
        key_.data());
    return authentication_code;
}

} // namespace turmericlane
