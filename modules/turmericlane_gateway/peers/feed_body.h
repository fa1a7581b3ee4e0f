#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** Compresses an encoded message, because the links between instances may be
    slow.
    @returns the body to send; empty if the compression failed */
std::string compress_body(std::string_view payload);

/** Restores a message from the result of compress_body.
    @returns the message, with the alignment that its decoding needs; nothing if
             the body is damaged or its message is too large */
std::optional<std::vector<std::uint8_t>> decompress_body(std::string_view body);

} // namespace turmericlane
