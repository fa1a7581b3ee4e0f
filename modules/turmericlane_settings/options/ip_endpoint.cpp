#include "ip_endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace turmericlane
{

namespace
{

bool is_address(const std::string& text, int family)
{
    unsigned char address_bytes[sizeof(in6_addr)];
    return inet_pton(family, text.c_str(), address_bytes) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    auto [parse_end, ec] = std::from_chars(text.data(), end, port);
    if (ec != std::errc() || parse_end != end || port == 0)
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

} // namespace turmericlane
