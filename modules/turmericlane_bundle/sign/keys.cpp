#include "keys.h"

#include "sodium_support.h"

#include <algorithm>
#include <sodium.h>

namespace turmericlane
{

namespace
{

template <std::size_t Size>
std::array<std::uint8_t, Size>
blake2b(const unsigned char* data, std::size_t size)
{
    std::array<std::uint8_t, Size> hash{};
    crypto_generichash(hash.data(), hash.size(), data, size, nullptr, 0);
    return hash;
}

} // namespace

key_id key_id_of(const public_key& key)
{
    // crypto_generichash can't produce fewer than 16 bytes.
    auto hash = blake2b<16>(key.data(), key.size());
    key_id id{};
    std::copy_n(hash.begin(), id.size(), id.begin());
    return id;
}

content_hash hash_of(std::string_view text)
{
    return blake2b<std::tuple_size_v<content_hash>>(
        bytes_of(text), text.size());
}

} // namespace turmericlane
