#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericlane
{

/** The empty line with the line end before it, which ends a head. */
constexpr std::string_view head_terminator = "\r\n\r\n";

/** What the head of a response says. */
struct response_head
{
    unsigned status = 0;
};

/** Parses the head of an HTTP/1 response.

    Every client calls this before it uses any part of a response. A status
    outside 100 to 599 is refused, although some parsers take any three digits.

    @param text  the head with its head_terminator
    @returns nothing if the head is not that of a response; then nothing that it
             says can be relied on */
std::optional<response_head> parse_response_head(std::string_view text);

} // namespace turmericlane
