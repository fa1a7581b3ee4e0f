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

/** Returns the lower-case hexadecimal digits of the bytes. */
std::string to_hex(std::span<const std::uint8_t> bytes);

/** Fills the span from hexadecimal digits. It doesn't run in constant time, so
    it is meant for public values.
    @returns false if the text is not exactly two digits per byte */
bool from_hex(std::string_view text, std::span<std::uint8_t> bytes);

/** Returns the bytes that hexadecimal digits stand for, or nothing if the text
    is not exactly two digits per byte. */
template <std::size_t Size>
std::optional<std::array<std::uint8_t, Size>> parse_hex(std::string_view text)
{
    std::array<std::uint8_t, Size> buf{};
    if (!from_hex(text, buf))
        return std::nullopt;
    return buf;
}

} // namespace turmericlane
