#include "http_message.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace turmericlane
{

namespace
{

constexpr std::string_view connection_fields[] = {
    "connection",          "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te",         "trailer",
    "transfer-encoding",   "upgrade",    "proxy-connection",
    "content-length",      "expect"};

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string_view caller_request::parameter(std::string_view name) const
{
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    auto rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty())
    {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::string_view caller_request::host() const
{
    const auto named = field(fields, "host");
    return named.substr(0, named.find(':'));
}

bool is_connection_field(std::string_view name)
{
    return std::any_of(
        std::begin(connection_fields), std::end(connection_fields),
        [name](std::string_view it)
        {
            return boost::beast::iequals(
                {it.data(), it.size()}, {name.data(), name.size()});
        });
}

std::string_view
field(const boost::beast::http::fields& of, std::string_view name)
{
    return view(of[boost::beast::string_view(name.data(), name.size())]);
}

std::string_view reason_phrase(unsigned status)
{
    return view(boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(status)));
}

void append_field(
    std::string& to, std::string_view name, std::string_view value)
{
    to.append(name);
    to.append(": ");
    to.append(value);
    to.append("\r\n");
}

} // namespace turmericlane
