#include "http_message.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace turmericlane
{

namespace
{

constexpr std::string_view connection_field_names[] = {
    "connection",          "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te",         "trailer",
    "transfer-encoding",   "upgrade",    "proxy-connection",
    "content-length",      "expect"};

std::string_view to_string_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string_view caller_request::parameter(std::string_view name) const
{
    const auto query_position = target.find('?');
    if (query_position == std::string::npos)
        return {};
    auto query = std::string_view(target).substr(query_position + 1);
    while (!query.empty())
    {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals_position = pair.find('=');
        if (equals_position != std::string_view::npos &&
            pair.substr(0, equals_position) == name)
            return pair.substr(equals_position + 1);
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

std::string_view caller_request::host() const
{
    const auto host_field = field(fields, "host");
    return host_field.substr(0, host_field.find(':'));
}

bool is_connection_field(std::string_view name)
{
    return std::any_of(
        std::begin(connection_field_names), std::end(connection_field_names),
        [name](std::string_view it)
        {
            return boost::beast::iequals(
                {it.data(), it.size()}, {name.data(), name.size()});
        });
}

std::string_view
field(const boost::beast::http::fields& fields, std::string_view name)
{
    return to_string_view(
        fields[boost::beast::string_view(name.data(), name.size())]);
}

std::string_view reason_phrase(unsigned status)
{
    return to_string_view(boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(status)));
}

void append_field(
    std::string& text, std::string_view name, std::string_view value)
{
    text.append(name);
    text.append(": ");
    text.append(value);
    text.append("\r\n");
}

} // namespace turmericlane
