#include "request_text.h"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace turmericlane
{

namespace
{

/** Upper bound of the time that a caller may state; it keeps sums of times in
    range. */
constexpr std::int64_t max_time_left_ms = 3'600'000;

bool is_same_name(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool is_named_by_connection(
    const boost::beast::http::fields& fields, std::string_view name)
{
    const auto value = field(fields, "connection");
    return !value.empty() &&
           boost::beast::http::token_list(
               boost::beast::string_view(value.data(), value.size()))
               .exists(boost::beast::string_view(name.data(), name.size()));
}

} // namespace

outgoing_request make_outgoing_request(
    const caller_request& request, const protocol_names& names, bool is_part)
{
    std::string head;
    head.reserve(256);
    head += request.method;
    head += ' ';
    head += request.target;
    head += " HTTP/1.1\r\n";
    for (const auto& it : request.fields)
    {
        const std::string_view name(
            it.name_string().data(), it.name_string().size());
        if (is_connection_field(name) || is_same_name(name, names.time_left) ||
            is_same_name(name, names.expected_searcher) ||
            is_named_by_connection(request.fields, name))
            continue;
        append_field(head, name, {it.value().data(), it.value().size()});
    }
    const auto has_body =
        !request.body.empty() ||
        request.fields.count(boost::beast::http::field::content_length) > 0 ||
        request.fields.count(boost::beast::http::field::transfer_encoding) > 0;
    std::string tail;
    if (has_body)
        append_field(
            tail, "Content-Length", std::to_string(request.body.size()));
    tail += "\r\n";
    tail += request.body;
    outgoing_request outgoing(std::move(head), std::move(tail));
    outgoing.id = field(request.fields, names.request_id);
    outgoing.expects_body = request.method != "HEAD";
    outgoing.is_part = is_part;
    return outgoing;
}

std::optional<duration>
read_time_left(const caller_request& request, const protocol_names& names)
{
    const auto text = field(request.fields, names.time_left);
    std::int64_t time_left_ms = 0;
    const auto* const end = text.data() + text.size();
    const auto [position, ec] = std::from_chars(text.data(), end, time_left_ms);
    if (text.empty() || ec != std::errc() || position != end ||
        time_left_ms < 0)
        return std::nullopt;
    return std::chrono::milliseconds(std::min(time_left_ms, max_time_left_ms));
}

std::string
answer_fields(const forward_result& result, const protocol_names& names)
{
    std::string lines;
    for (const auto& [name, value] : result.answer.headers)
        append_field(lines, name, value);
    if (result.part_signatures.empty())
        return lines;
    std::string signatures;
    for (const auto& it : result.part_signatures)
    {
        if (!signatures.empty())
            signatures += ", ";
        signatures += it;
    }
    append_field(lines, names.part_signatures, signatures);
    append_field(
        lines, names.missing_parts, std::to_string(result.missing_parts));
    return lines;
}

std::string retry_fields(duration retry_after)
{
    char text[32] = {};
    std::snprintf(
        text, sizeof(text), "%.3f",
        std::chrono::duration<double>(retry_after).count());
    std::string line;
    append_field(line, "Retry-After", text);
    return line;
}

} // namespace turmericlane
