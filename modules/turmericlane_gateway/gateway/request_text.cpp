#include "request_text.h"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace turmericlane
{

namespace
{

/** Longest wait that is believed; it keeps sums of times in range. */
constexpr std::int64_t max_time_left_ms = 3'600'000;

bool same_name(std::string_view a, std::string_view b)
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

outgoing_request make_outgoing(
    const caller_request& request, const protocol_names& names, bool part)
{
    outgoing_request made;
    made.id = field(request.fields, names.request_id);
    made.expects_body = request.method != "HEAD";
    made.is_part = part;
    made.head.reserve(256);
    made.head += request.method;
    made.head += ' ';
    made.head += request.target;
    made.head += " HTTP/1.1\r\n";
    for (const auto& it : request.fields)
    {
        const std::string_view name(
            it.name_string().data(), it.name_string().size());
        if (is_connection_field(name) || same_name(name, names.time_left) ||
            same_name(name, names.expected_searcher) ||
            is_named_by_connection(request.fields, name))
            continue;
        append_field(made.head, name, {it.value().data(), it.value().size()});
    }
    const auto has_body =
        !request.body.empty() ||
        request.fields.count(boost::beast::http::field::content_length) > 0 ||
        request.fields.count(boost::beast::http::field::transfer_encoding) > 0;
    if (has_body)
        append_field(
            made.tail, "Content-Length", std::to_string(request.body.size()));
    made.tail += "\r\n";
    made.tail += request.body;
    return made;
}

std::optional<duration>
read_time_left(const caller_request& request, const protocol_names& names)
{
    const auto text = field(request.fields, names.time_left);
    std::int64_t made = 0;
    const auto* const end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, made);
    if (text.empty() || ec != std::errc() || at != end || made < 0)
        return std::nullopt;
    return std::chrono::milliseconds(std::min(made, max_time_left_ms));
}

std::string
answer_fields(const forward_result& result, const protocol_names& names)
{
    std::string made;
    for (const auto& [name, value] : result.answer.headers)
        append_field(made, name, value);
    if (result.part_signatures.empty())
        return made;
    std::string joined;
    for (const auto& it : result.part_signatures)
    {
        if (!joined.empty())
            joined += ", ";
        joined += it;
    }
    append_field(made, names.part_signatures, joined);
    append_field(
        made, names.missing_parts, std::to_string(result.missing_parts));
    return made;
}

std::string retry_fields(duration retry_after)
{
    char text[32] = {};
    std::snprintf(
        text, sizeof(text), "%.3f",
        std::chrono::duration<double>(retry_after).count());
    std::string made;
    append_field(made, "Retry-After", text);
    return made;
}

} // namespace turmericlane
