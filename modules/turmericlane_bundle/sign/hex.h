#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Lower-case hexadecimal digits of some bytes. */
std::string to_hex(std::span<const std::uint8_t> bytes);

/** Fills the span from hexadecimal digits. Does not run in constant time; it
    is for public values.
    @returns false if the text is not exactly two digits for each byte */
bool from_hex(std::string_view text, std::span<std::uint8_t> bytes);

/** Bytes from hexadecimal digits, or nothing. */
template <std::size_t Size>
std::optional<std::array<std::uint8_t, Size>> parse_hex(std::string_view text)
{
    std::array<std::uint8_t, Size> buf{};
    if (!from_hex(text, buf))
        return std::nullopt;
    return buf;
}

} // namespace turmericlane
