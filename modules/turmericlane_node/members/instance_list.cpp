#include "instance_list.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

namespace
{

using list_result = result<std::vector<listed_instance>>;

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_ordinal = 1'000'000;

std::optional<std::int64_t> read_number(
    const nlohmann::json& object, const char* name, std::int64_t max_value)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned())
        return std::nullopt;
    const auto value = it->get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(max_value))
        return std::nullopt;
    return static_cast<std::int64_t>(value);
}

std::optional<std::string>
read_text(const nlohmann::json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_string())
        return std::nullopt;
    return it->get<std::string>();
}

std::optional<listed_instance> parse_entry(const nlohmann::json& entry)
{
    if (!entry.is_object())
        return std::nullopt;
    const auto address = read_text(entry, "address");
    const auto data_centre = read_text(entry, "data_centre");
    const auto state = read_text(entry, "state");
    const auto peer_port = read_number(entry, "peer_port", max_port);
    const auto http_port = read_number(entry, "http_port", max_port);
    const auto index = read_number(entry, "ordinal", max_ordinal);
    if (!address || !data_centre || !state || !peer_port || !http_port ||
        !index)
        return std::nullopt;
    listed_instance instance;
    instance.listen_endpoint.address = *address;
    instance.listen_endpoint.peer_port = static_cast<std::uint16_t>(*peer_port);
    instance.listen_endpoint.http_port = static_cast<std::uint16_t>(*http_port);
    instance.data_centre = *data_centre;
    instance.index = static_cast<ordinal>(*index);
    instance.leaving = *state == "leaving";
    return instance;
}

} // namespace

result<std::vector<listed_instance>>
parse_instance_list(std::string_view list_json)
{
    const auto document = nlohmann::json::parse(list_json, nullptr, false);
    if (!document.is_array())
        return list_result::failure("the instance list is not a JSON array");
    std::vector<listed_instance> entries;
    for (const auto& it : document)
    {
        auto entry = parse_entry(it);
        if (!entry)
            return list_result::failure(
                "entry " + std::to_string(entries.size()) +
                " of the instance list is malformed");
        entries.push_back(std::move(*entry));
    }
    return entries;
}

} // namespace turmericlane
