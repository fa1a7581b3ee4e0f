#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** Compresses an encoded message for the way between instances, whose links may
    be slow. */
std::string compress_body(std::string_view payload);

/** Reverses compress_body.
    @returns nothing if the text is damaged or holds more than a peer may send;
             the bytes have the alignment that messages need */
std::optional<std::vector<std::uint8_t>> decompress_body(std::string_view body);

} // namespace turmericlane
