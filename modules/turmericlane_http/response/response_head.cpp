#include "response_head.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

namespace turmericlane
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::size_t version_size = std::string_view("HTTP/1.1").size();
constexpr std::size_t status_size = 3;
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_token_char(char c)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           punctuation.find(c) != std::string_view::npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_equal_ignoring_case(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto start = text.find_first_not_of(blanks);
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(blanks) + 1 - start);
}

/** Removes the first line from a text and returns it without its end. */
std::string_view take_line(std::string_view& text)
{
    const auto size = text.find(line_end);
    const auto line = text.substr(0, size);
    text.remove_prefix(
        size == std::string_view::npos ? text.size() : size + line_end.size());
    return line;
}

/** Returns the status in a line such as "HTTP/1.1 200 OK". */
std::optional<unsigned> parse_status_line(std::string_view line)
{
    const auto version = line.substr(0, version_size);
    if (version != "HTTP/1.0" && version != "HTTP/1.1")
        return std::nullopt;
    line.remove_prefix(version_size);
    if (line.size() < status_size + 2 || line.front() != ' ' ||
        line[status_size + 1] != ' ')
        return std::nullopt;
    const auto digits = line.substr(1, status_size);
    const auto reason = line.substr(status_size + 2);
    if (!std::all_of(digits.begin(), digits.end(), is_digit) ||
        !is_printable(reason))
        return std::nullopt;
    unsigned status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    if (status < min_status || status > max_status)
        return std::nullopt;
    return status;
}

bool is_length(std::string_view text)
{
    std::uint64_t length = 0;
    const auto* const end = text.data() + text.size();
    const auto [position, ec] = std::from_chars(text.data(), end, length);
    return ec == std::errc() && position == end;
}

/** Returns the framing that a field states; nothing if it states none. */
std::optional<body_framing> framing_of_field(std::string_view name)
{
    if (is_equal_ignoring_case(name, "content-length"))
        return body_framing::length;
    if (is_equal_ignoring_case(name, "transfer-encoding"))
        return body_framing::chunked;
    return std::nullopt;
}

bool is_framing_value(body_framing framing, std::string_view value)
{
    return framing == body_framing::length
               ? is_length(value)
               : is_equal_ignoring_case(value, "chunked");
}

} // namespace

std::optional<response_head> parse_response_head(std::string_view text)
{
    if (!text.ends_with(head_terminator))
        return std::nullopt;
    text.remove_suffix(line_end.size());
    const auto status = parse_status_line(take_line(text));
    if (!status)
        return std::nullopt;
    response_head head;
    head.status = *status;
    bool has_framing = false;
    while (!text.empty())
    {
        const auto line = take_line(text);
        if (!is_field_line(line))
            return std::nullopt;
        const auto colon = line.find(':');
        const auto name = line.substr(0, colon);
        const auto value = trim(line.substr(colon + 1));
        const auto framing = framing_of_field(name);
        if (!framing)
            continue;
        if (has_framing || !is_framing_value(*framing, value))
            return std::nullopt;
        has_framing = true;
        head.framing = *framing;
    }
    return head;
}

bool is_field_line(std::string_view line)
{
    const auto colon = line.find(':');
    return colon != std::string_view::npos && is_token(line.substr(0, colon)) &&
           is_printable(line.substr(colon + 1));
}

bool is_printable(std::string_view text)
{
    return std::none_of(
        text.begin(), text.end(),
        [](char c)
        {
            const auto code = static_cast<unsigned char>(c);
            return (code < 0x20 && c != '\t') || code == 0x7f;
        });
}

} // namespace turmericlane
