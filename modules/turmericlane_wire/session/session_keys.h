#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** A secret that all instances share. */
using shared_key = std::array<std::uint8_t, 32>;

/** The keys from the settings: the first signs, all are accepted. To roll a
    key, append the new one everywhere, then make it the first everywhere, then
    remove the old one. */
using shared_key_list = std::vector<shared_key>;

/** Random number that each side of a connection draws anew, so that frames
    recorded from one connection are not valid on another. */
using session_nonce = std::array<std::uint8_t, 32>;

/** Returns the key with that text of 64 hexadecimal digits, or nothing. */
std::optional<shared_key> parse_shared_key(std::string_view text);

/** Draws a nonce from the system's random source. Any thread may call. */
session_nonce make_session_nonce();

} // namespace turmericlane
