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

    Every client calls this before it uses any part of a response. It refuses
    what some parsers accept:
    - a status outside 100 to 599,
    - a field name that is not a token, and a line that continues the value of
      the field before it,
    - control bytes other than tabs in the reason or in a value.

    @param text  the head with its head_terminator
    @returns nothing if the head is not that of a response; then nothing that it
             says can be relied on */
std::optional<response_head> parse_response_head(std::string_view text);

/** True for the line of a field, without its end: a token, a colon directly
    after it, and a printable value. */
bool is_field_line(std::string_view line);

/** True if a text has no control bytes other than tabs. */
bool is_printable(std::string_view text);

} // namespace turmericlane
