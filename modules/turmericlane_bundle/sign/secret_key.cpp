#include "secret_key.h"

#include "sodium_support.h"

#include <sodium.h>

namespace turmericlane
{

namespace
{

constexpr std::string_view white_space = " \t\r\n";

static_assert(crypto_sign_PUBLICKEYBYTES == std::tuple_size_v<public_key>);
static_assert(crypto_sign_BYTES == std::tuple_size_v<signature_bytes>);
static_assert(crypto_sign_SECRETKEYBYTES == 64);
static_assert(crypto_sign_SEEDBYTES == 32);

std::string_view trim(std::string_view text)
{
    auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

} // namespace

secret_key secret_key::generate()
{
    initialise_sodium();
    secret_key key;
    public_key unused_public_key;
    crypto_sign_keypair(unused_public_key.data(), key.bytes_.data());
    return key;
}

result<secret_key> secret_key::from_hex_seed(std::string_view text)
{
    initialise_sodium();
    std::array<std::uint8_t, crypto_sign_SEEDBYTES> seed{};
    if (!from_hex(trim(text), seed))
        return result<secret_key>::failure(
            "not a secret key; expected 64 hexadecimal digits");
    secret_key key;
    public_key unused_public_key;
    crypto_sign_seed_keypair(
        unused_public_key.data(), key.bytes_.data(), seed.data());
    sodium_memzero(seed.data(), seed.size());
    return key;
}

secret_key::secret_key(secret_key&& other) noexcept
    : bytes_(other.bytes_)
{
    sodium_memzero(other.bytes_.data(), other.bytes_.size());
}

secret_key& secret_key::operator=(secret_key&& other) noexcept
{
    if (this == &other)
        return *this;
    bytes_ = other.bytes_;
    sodium_memzero(other.bytes_.data(), other.bytes_.size());
    return *this;
}

secret_key::~secret_key()
{
    sodium_memzero(bytes_.data(), bytes_.size());
}

public_key secret_key::to_public_key() const
{
    public_key key{};
    crypto_sign_ed25519_sk_to_pk(key.data(), bytes_.data());
    return key;
}

signature_bytes secret_key::sign(std::string_view message) const
{
    signature_bytes signature{};
    crypto_sign_detached(
        signature.data(), nullptr, bytes_of(message), message.size(),
        bytes_.data());
    return signature;
}

} // namespace turmericlane
