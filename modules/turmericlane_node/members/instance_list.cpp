#include "instance_list.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

namespace
{

using parsed = result<std::vector<listed_instance>>;

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_ordinal = 1'000'000;

std::optional<std::int64_t>
number(const nlohmann::json& from, const char* name, std::int64_t max)
{
    const auto it = from.find(name);
    if (it == from.end() || !it->is_number_unsigned())
        return std::nullopt;
    const auto value = it->get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(max))
        return std::nullopt;
    return static_cast<std::int64_t>(value);
}

std::optional<std::string> text(const nlohmann::json& from, const char* name)
{
    const auto it = from.find(name);
    if (it == from.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

std::optional<listed_instance> parse_entry(const nlohmann::json& entry)
{
    if (!entry.is_object())
        return std::nullopt;
    const auto address = text(entry, "address");
    const auto data_centre = text(entry, "data_centre");
    const auto state = text(entry, "state");
    const auto peer_port = number(entry, "peer_port", max_port);
    const auto http_port = number(entry, "http_port", max_port);
    const auto index = number(entry, "ordinal", max_ordinal);
    if (!address || !data_centre || !state || !peer_port || !http_port ||
        !index)
        return std::nullopt;
    listed_instance made;
    made.listen_endpoint.address = *address;
    made.listen_endpoint.peer_port = static_cast<std::uint16_t>(*peer_port);
    made.listen_endpoint.http_port = static_cast<std::uint16_t>(*http_port);
    made.data_centre = *data_centre;
    made.index = static_cast<ordinal>(*index);
    made.leaving = *state == "leaving";
    return made;
}

} // namespace

result<std::vector<listed_instance>> parse_instance_list(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_array())
        return parsed::failure("the instance list is not a JSON array");
    std::vector<listed_instance> entries;
    for (const auto& it : document)
    {
        auto entry = parse_entry(it);
        if (!entry)
            return parsed::failure(
                "entry " + std::to_string(entries.size()) +
                " of the instance list is malformed");
        entries.push_back(std::move(*entry));
    }
    return entries;
}

} // namespace turmericlane
