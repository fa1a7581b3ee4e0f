#include "session_keys.h"

#include <sodium.h>

namespace turmericlane
{

std::optional<shared_key> parse_shared_key(std::string_view text)
{
    shared_key key{};
    std::size_t decoded_bytes = 0;
    const char* parse_end = nullptr;
    if (text.size() != 2 * key.size())
        return std::nullopt;
    if (sodium_hex2bin(
            key.data(), key.size(), text.data(), text.size(), nullptr,
            &decoded_bytes, &parse_end) != 0)
        return std::nullopt;
    if (decoded_bytes != key.size() || parse_end != text.data() + text.size())
        return std::nullopt;
    return key;
}

session_nonce make_session_nonce()
{
    session_nonce nonce{};
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

} // namespace turmericlane
