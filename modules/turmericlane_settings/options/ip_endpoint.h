#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericlane
{

/** IP address and TCP port. */
struct ip_endpoint
{
    /** IPv4 or IPv6 address without brackets. */
    std::string address;
    std::uint16_t port = 0;

    /** Returns `address:port`, with brackets around an IPv6 address. */
    std::string to_string() const;

    friend bool operator==(const ip_endpoint&, const ip_endpoint&) = default;
};

/** Parses a text such as `127.0.0.1:80` or `[::1]:80`. Host names are not
    accepted.
    @returns nothing if the text is not an endpoint */
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

} // namespace turmericlane
