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

    friend bool operator<(const endpoint& left, const endpoint& right)
    {
        return std::tie(left.address, left.port) <
               std::tie(right.address, right.port);
    }
};

/** Parses "address:port". Returns nothing if the text is invalid. */
std::optional<endpoint> parse_endpoint(std::string_view text);

/** Returns "address:port". */
std::string to_string(const endpoint& server);

} // namespace turmericlane::load
