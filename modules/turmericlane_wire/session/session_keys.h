#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** Secret key that all instances share. */
using shared_key = std::array<std::uint8_t, 32>;

/** Shared keys from the settings. The first one signs; all are accepted. To
    rotate the key, append the new key on all instances, then move it to the
    front on all instances, then remove the old key. */
using shared_key_list = std::vector<shared_key>;

/** Random number that each side draws for each connection, so that frames that
    were recorded on one connection are not valid on another. */
using session_nonce = std::array<std::uint8_t, 32>;

/** Parses a key of 64 hexadecimal digits.
    @returns nothing if the text is not such a key */
std::optional<shared_key> parse_shared_key(std::string_view text);

/** Returns a nonce from the random source of the operating system. Any thread
    may call it. */
session_nonce make_session_nonce();

} // namespace turmericlane
