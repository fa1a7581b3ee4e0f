#include "endpoint.h"

#include <charconv>

namespace turmericlane::load
{

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    endpoint made;
    made.address = text.substr(0, colon);
    const auto* end = text.data() + text.size();
    auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, made.port);
    if (ec != std::errc() || stop != end || made.port == 0)
        return std::nullopt;
    return made;
}

std::string to_string(const endpoint& of)
{
    return of.address + ':' + std::to_string(of.port);
}

} // namespace turmericlane::load
