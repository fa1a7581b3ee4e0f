#include "keys.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
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

/** Initialises libsodium once. It fails only without a random source, and then
    no key may be drawn. */
void require_sodium()
{
    static const int status = sodium_init();
    if (status < 0)
        std::abort();
}

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string_view trim(std::string_view text)
{
    auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

template <std::size_t Size>
std::array<std::uint8_t, Size> blake2b(const unsigned char* data, std::size_t n)
{
    std::array<std::uint8_t, Size> hash{};
    crypto_generichash(hash.data(), hash.size(), data, n, nullptr, 0);
    return hash;
}

} // namespace

key_id id_of(const public_key& of)
{
    // crypto_generichash makes no output below 16 bytes.
    auto hash = blake2b<16>(of.data(), of.size());
    key_id id{};
    std::copy_n(hash.begin(), id.size(), id.begin());
    return id;
}

content_hash hash_of(std::string_view canonical)
{
    return blake2b<std::tuple_size_v<content_hash>>(
        bytes_of(canonical), canonical.size());
}

secret_key secret_key::generate()
{
    require_sodium();
    secret_key made;
    public_key ignored;
    crypto_sign_keypair(ignored.data(), made.bytes_.data());
    return made;
}

result<secret_key> secret_key::from_hex_seed(std::string_view text)
{
    require_sodium();
    std::array<std::uint8_t, crypto_sign_SEEDBYTES> seed{};
    if (!from_hex(trim(text), seed))
        return result<secret_key>::failure(
            "not a secret key; expected 64 hexadecimal digits");
    secret_key made;
    public_key ignored;
    crypto_sign_seed_keypair(ignored.data(), made.bytes_.data(), seed.data());
    sodium_memzero(seed.data(), seed.size());
    return made;
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

public_key secret_key::to_public() const
{
    public_key made{};
    crypto_sign_ed25519_sk_to_pk(made.data(), bytes_.data());
    return made;
}

signature_bytes secret_key::sign(std::string_view message) const
{
    signature_bytes made{};
    crypto_sign_detached(
        made.data(), nullptr, bytes_of(message), message.size(), bytes_.data());
    return made;
}

result<trusted_keys> trusted_keys::parse(std::string_view list)
{
    using made = result<trusted_keys>;
    constexpr std::string_view separators = ", \t\r\n";
    trusted_keys keys;
    std::size_t position = 0;
    while ((position = list.find_first_not_of(separators, position)) !=
           std::string_view::npos)
    {
        auto end =
            std::min(list.find_first_of(separators, position), list.size());
        auto key = parse_hex<32>(list.substr(position, end - position));
        if (!key)
            return made::failure(
                "key " + std::to_string(keys.size() + 1) +
                " is not a public key; expected 64 hexadecimal digits");
        keys.add(*key);
        position = end;
    }
    if (keys.size() == 0)
        return made::failure("no public key; at least one is needed");
    return keys;
}

void trusted_keys::add(const public_key& added)
{
    if (std::find(keys_.begin(), keys_.end(), added) == keys_.end())
        keys_.push_back(added);
}

bool trusted_keys::verify(
    std::string_view message,
    const key_id& signer,
    const signature_bytes& signature) const
{
    require_sodium();
    auto matches = [&](const public_key& key)
    {
        return id_of(key) == signer && crypto_sign_verify_detached(
                                           signature.data(), bytes_of(message),
                                           message.size(), key.data()) == 0;
    };
    return std::any_of(keys_.begin(), keys_.end(), matches);
}

std::size_t trusted_keys::size() const noexcept
{
    return keys_.size();
}

} // namespace turmericlane
