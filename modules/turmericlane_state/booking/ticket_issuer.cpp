#include "ticket_issuer.h"

#include <cassert>
#include <sodium.h>

namespace turmericlane
{

static_assert(crypto_auth_KEYBYTES == 32 && crypto_auth_BYTES == 32);

ticket_issuer::ticket_issuer(
    std::string address,
    ordinal self,
    std::uint64_t nonce,
    const key_type& key,
    const clock& time,
    duration lifetime)
    : address_(std::move(address))
    , self_(self)
    , nonce_(nonce)
    , key_(key)
    , clock_(time)
    , lifetime_(lifetime)
    , started_(time.now())
{
    assert(lifetime >= std::chrono::milliseconds(1));
    assert(address_.find('/') == std::string::npos);
}

ticket ticket_issuer::issue()
{
    ticket made;
    made.issuer_address = address_;
    made.issuer = self_;
    made.issuer_nonce = nonce_;
    made.serial = ++last_serial_;
    made.expiry = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.now() - started_ + lifetime_);
    made.code = code_of(made);
    return made;
}

bool ticket_issuer::authentic(const ticket& value) const
{
    if (value.issuer != self_ || value.issuer_nonce != nonce_)
        return false;
    auto expected = code_of(value);
    return sodium_memcmp(expected.data(), value.code.data(), expected.size()) ==
           0;
}

time_point ticket_issuer::expiry(const ticket& value) const
{
    return started_ + value.expiry;
}

std::array<unsigned char, 32> ticket_issuer::code_of(const ticket& value) const
{
    auto unsigned_copy = value;
    unsigned_copy.code = {};
    auto text = to_text(unsigned_copy);
    std::array<unsigned char, 32> code;
    crypto_auth(
        code.data(), reinterpret_cast<const unsigned char*>(text.data()),
        text.size(), key_.data());
    return code;
}

} // namespace turmericlane
