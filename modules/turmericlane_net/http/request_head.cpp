#include "request_head.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <charconv>
#include <string_view>

namespace turmericlane
{

namespace
{

constexpr int bad_request = 400;
constexpr int too_large = 413;
constexpr int unsupported_coding = 415;
constexpr int head_too_large = 431;

/** Returns the refusal of a Content-Length, or 0. */
int check_length(const std::string& value, std::size_t max_body_bytes)
{
    std::size_t length = 0;
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, length);
    if (parsed.ec == std::errc::result_out_of_range)
        return too_large;
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return bad_request;
    return length > max_body_bytes ? too_large : 0;
}

} // namespace

request_head check_request_head(
    std::string& text, std::size_t max_body_bytes, std::size_t max_field_count)
{
    request_head head;
    auto begin = text.find('\n') + 1;
    while (begin < text.size() && head.refusal_status == 0)
    {
        const auto end = text.find('\n', begin) + 1;
        const auto line = std::string_view(text).substr(begin, end - begin);
        const auto colon = line.find(':');
        if (line == "\r\n")
            break;
        if (++head.field_count > max_field_count)
            head.refusal_status = head_too_large;
        if (colon == std::string_view::npos)
        {
            begin = end;
            continue;
        }
        const auto name = boost::trim_copy(std::string(line.substr(0, colon)));
        const auto value =
            boost::trim_copy(std::string(line.substr(colon + 1)));
        if (boost::iequals(name, "range"))
        {
            text.erase(begin, end - begin);
            continue;
        }
        if (boost::iequals(name, "content-length"))
            head.refusal_status = check_length(value, max_body_bytes);
        else if (boost::iequals(name, "transfer-encoding"))
            head.is_chunked = true;
        else if (
            boost::iequals(name, "content-encoding") &&
            !boost::iequals(value, "identity"))
            head.refusal_status = unsupported_coding;
        begin = end;
    }
    return head;
}

} // namespace turmericlane
