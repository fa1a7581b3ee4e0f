#include "keys.h"

#include "sodium_support.h"

#include <algorithm>
#include <sodium.h>

namespace turmericlane
{

namespace
{

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

} // namespace turmericlane
