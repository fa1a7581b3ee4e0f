#include "endpoint_list_setting.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <charconv>

namespace turmericlane
{

namespace
{

bool is_address(const std::string& text, int family)
{
    unsigned char raw[sizeof(in6_addr)];
    return inet_pton(family, text.c_str(), raw) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    auto [stop, ec] = std::from_chars(text.data(), end, port);
    if (ec != std::errc() || stop != end || port == 0)
        return std::nullopt;
    return port;
}

} // namespace

std::string ip_endpoint::to_string() const
{
    auto is_v6 = address.find(':') != std::string::npos;
    auto host = is_v6 ? "[" + address + "]" : address;
    return host + ":" + std::to_string(port);
}

std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    auto port = parse_port(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    auto has_brackets = host.starts_with('[') && host.ends_with(']');
    if (has_brackets)
        host = host.substr(1, host.size() - 2);
    std::string address(host);
    if (!is_address(address, has_brackets ? AF_INET6 : AF_INET))
        return std::nullopt;
    return ip_endpoint{std::move(address), *port};
}

endpoint_list_setting::endpoint_list_setting(
    setting_description description, std::size_t largest)
    : setting(std::move(description))
    , largest_(largest)
{
    assert(largest > 0);
}

const std::vector<ip_endpoint>& endpoint_list_setting::value() const noexcept
{
    return value_;
}

bool endpoint_list_setting::assign(std::string_view text)
{
    std::vector<ip_endpoint> parsed;
    std::size_t position = 0;
    while (position <= text.size())
    {
        auto comma = std::min(text.find(',', position), text.size());
        auto found = parse_ip_endpoint(text.substr(position, comma - position));
        if (!found || parsed.size() == largest_)
            return false;
        parsed.push_back(std::move(*found));
        position = comma + 1;
    }
    value_ = std::move(parsed);
    return true;
}

std::string endpoint_list_setting::text() const
{
    std::string list;
    for (const auto& it : value_)
        list += (list.empty() ? "" : ",") + it.to_string();
    return list;
}

std::string endpoint_list_setting::accepted() const
{
    if (largest_ == 1)
        return "IP:PORT";
    return "1 to " + std::to_string(largest_) + " of IP:PORT, with commas";
}

} // namespace turmericlane
