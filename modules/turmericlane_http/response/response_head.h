#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericlane
{

/** The empty line with the line end before it, which ends a head. */
constexpr std::string_view head_terminator = "\r\n\r\n";

/** Size limit of the head of a response, in bytes. */
constexpr std::size_t max_response_head_bytes = 64U << 10U;

/** How the end of a response's body is found. */
enum class body_framing : std::uint8_t
{
    /** The head states the size. */
    length,
    /** The body consists of chunks. */
    chunked,
    /** The body ends with the connection, unless the status excludes one. */
    connection_end
};

/** What the head of a response says about its status and its body. */
struct response_head
{
    unsigned status = 0;
    body_framing framing = body_framing::connection_end;

    /** True if the final response is still to come. */
    bool is_interim() const noexcept
    {
        return status < 200;
    }
};

/** Parses the head of an HTTP/1 response.

    Every client calls this before it uses any part of a response. It refuses
    what some parsers accept and others don't, because the one that accepts it
    may take other bytes for fields or the body:
    - a status outside 100 to 599,
    - a field name that is not a token, and a line that continues the value of
      the field before it,
    - control bytes other than tabs in the reason or in a value,
    - more than one field that states a length or a transfer coding, a length
      that is not a number, and a coding other than "chunked".

    @param text  the head with its head_terminator
    @returns nothing if the head is not that of a response; then nothing that it
             says can be relied on
    @see chunk_checker */
std::optional<response_head> parse_response_head(std::string_view text);

/** True for the line of a field, without its end: a token, a colon directly
    after it, and a printable value. */
bool is_field_line(std::string_view line);

/** True if a text has no control bytes other than tabs. */
bool is_printable(std::string_view text);

} // namespace turmericlane
