#include "endpoint.h"

#include <charconv>

namespace turmericlane::load
{

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    endpoint result;
    result.address = text.substr(0, colon);
    const auto* end = text.data() + text.size();
    auto [parsed_end, ec] =
        std::from_chars(text.data() + colon + 1, end, result.port);
    if (ec != std::errc() || parsed_end != end || result.port == 0)
        return std::nullopt;
    return result;
}

std::string to_string(const endpoint& server)
{
    return server.address + ':' + std::to_string(server.port);
}

} // namespace turmericlane::load
