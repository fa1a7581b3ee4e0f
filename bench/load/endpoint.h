#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace turmericlane::load
{

/** Numeric address and port of a server. */
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;

    friend bool operator<(const endpoint& one, const endpoint& other)
    {
        return std::tie(one.address, one.port) <
               std::tie(other.address, other.port);
    }
};

/** Reads "address:port", or returns nothing. */
std::optional<endpoint> parse_endpoint(std::string_view text);

/** "address:port". */
std::string to_string(const endpoint& of);

} // namespace turmericlane::load
