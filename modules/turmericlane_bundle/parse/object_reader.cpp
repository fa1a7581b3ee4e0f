#include "object_reader.h"

#include "../sign/hex.h"
#include "json_path.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>

namespace turmericlane
{

namespace
{

std::string
range_text(const nlohmann::json& min_value, const nlohmann::json& max_value)
{
    return "accepted: " + min_value.dump() + " to " + max_value.dump();
}

std::string type_error(const char* expected_type, const nlohmann::json& value)
{
    return std::string("must be ") + expected_type + ", not " +
           value.type_name();
}

bool is_name(std::string_view text)
{
    auto is_lower = [](char c) { return c >= 'a' && c <= 'z'; };
    auto is_name_character = [&](char c)
    { return is_lower(c) || (c >= '0' && c <= '9') || c == '_'; };
    return !text.empty() && text.size() <= 64 && is_lower(text.front()) &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_canonical_address(const std::string& text, int family)
{
    unsigned char binary_address[sizeof(in6_addr)];
    char canonical_address[INET6_ADDRSTRLEN];
    return inet_pton(family, text.c_str(), binary_address) == 1 &&
           inet_ntop(
               family, binary_address, canonical_address,
               sizeof(canonical_address)) != nullptr &&
           text == canonical_address;
}

} // namespace

object_reader::object_reader(
    const nlohmann::json& object,
    std::string path,
    std::initializer_list<std::string_view> required_fields,
    error_recorder& errors,
    std::initializer_list<std::string_view> optional_fields)
    : object_(object)
    , path_(std::move(path))
    , errors_(errors)
{
    if (!object.is_object())
    {
        errors_.add(path_, type_error("an object", object));
        return;
    }
    auto contains = [](const auto& fields, const std::string& name)
    { return std::find(fields.begin(), fields.end(), name) != fields.end(); };
    for (const auto& it : object.items())
        if (!contains(required_fields, it.key()) &&
            !contains(optional_fields, it.key()))
            add_error(it.key(), "unknown field");
    for (auto it : required_fields)
        if (!object.contains(it))
            add_error(it, "missing field");
}

std::uint64_t object_reader::integer(
    std::string_view field,
    std::uint64_t min_value,
    std::uint64_t max_value) const
{
    assert(min_value <= max_value);
    const auto* field_value = find_field(field);
    if (field_value == nullptr)
        return min_value;
    if (!field_value->is_number())
    {
        add_error(field, type_error("an integer", *field_value));
        return min_value;
    }
    if (field_value->is_number_unsigned())
    {
        auto value = field_value->get<std::uint64_t>();
        if (value >= min_value && value <= max_value)
            return value;
    }
    const auto* problem = field_value->is_number_float()
                              ? " is not an integer; "
                              : " is out of range; ";
    add_error(
        field,
        field_value->dump() + problem + range_text(min_value, max_value));
    return min_value;
}

std::uint32_t object_reader::integer32(
    std::string_view field,
    std::uint32_t min_value,
    std::uint32_t max_value) const
{
    return static_cast<std::uint32_t>(integer(field, min_value, max_value));
}

double object_reader::number(
    std::string_view field, double min_value, double max_value) const
{
    assert(min_value <= max_value);
    const auto* field_value = find_field(field);
    if (field_value == nullptr)
        return min_value;
    if (!field_value->is_number())
    {
        add_error(field, type_error("a number", *field_value));
        return min_value;
    }
    auto value = field_value->get<double>();
    if (value >= min_value && value <= max_value)
        return value;
    add_error(
        field, field_value->dump() + " is out of range; " +
                   range_text(min_value, max_value));
    return min_value;
}

bool object_reader::boolean(std::string_view field) const
{
    const auto* field_value = find_field(field);
    if (field_value == nullptr)
        return false;
    if (field_value->is_boolean())
        return field_value->get<bool>();
    add_error(field, type_error("true or false", *field_value));
    return false;
}

std::string object_reader::name(std::string_view field) const
{
    const auto* field_value = find_field(field);
    return field_value == nullptr ? std::string()
                                  : read_name(path_of(field), *field_value);
}

std::vector<std::string> object_reader::optional_names(
    std::string_view field, std::size_t max_size) const
{
    std::vector<std::string> names;
    if (find_field(field) == nullptr)
        return names;
    for (const auto& it : array(field, 0, max_size))
        names.push_back(
            read_name(element_path(path_of(field), names.size()), it));
    return names;
}

std::string object_reader::read_name(
    const std::string& path, const nlohmann::json& value) const
{
    if (!value.is_string())
    {
        errors_.add(path, type_error("a string", value));
        return {};
    }
    auto text = value.get<std::string>();
    if (!is_name(text))
        errors_.add(
            path, value.dump() +
                      " is not a name; accepted: a lower-case letter, then "
                      "up to 63 of a-z, 0-9 and _");
    return text;
}

std::string object_reader::address(std::string_view field) const
{
    const auto* field_value = find_field(field);
    if (field_value == nullptr)
        return {};
    if (!field_value->is_string())
    {
        add_error(field, type_error("a string", *field_value));
        return {};
    }
    auto text = field_value->get<std::string>();
    if (!is_canonical_address(text, AF_INET) &&
        !is_canonical_address(text, AF_INET6))
        add_error(
            field, field_value->dump() +
                       " is not an IP address; accepted: IPv4, or IPv6 in its "
                       "shortest form");
    return text;
}

void object_reader::hex(
    std::string_view field, std::span<std::uint8_t> bytes) const
{
    const auto* field_value = find_field(field);
    if (field_value == nullptr)
        return;
    if (field_value->is_string() &&
        from_hex(field_value->get_ref<const std::string&>(), bytes))
        return;
    add_error(
        field,
        "must be " + std::to_string(bytes.size() * 2) + " hexadecimal digits");
}

const nlohmann::json& object_reader::array(
    std::string_view field, std::size_t min_size, std::size_t max_size) const
{
    static const auto empty_array = nlohmann::json::array();
    const auto* field_value = find_field(field);
    if (field_value == nullptr)
        return empty_array;
    if (!field_value->is_array())
    {
        add_error(field, type_error("an array", *field_value));
        return empty_array;
    }
    if (field_value->size() >= min_size && field_value->size() <= max_size)
        return *field_value;
    add_error(
        field, std::to_string(field_value->size()) + " elements; " +
                   range_text(min_size, max_size));
    return empty_array;
}

const nlohmann::json& object_reader::value(std::string_view field) const
{
    static const nlohmann::json null_value;
    const auto* field_value = find_field(field);
    return field_value == nullptr ? null_value : *field_value;
}

std::string object_reader::path_of(std::string_view field) const
{
    return member_path(path_, field);
}

void object_reader::add_error(std::string_view field, std::string detail) const
{
    errors_.add(path_of(field), std::move(detail));
}

const nlohmann::json* object_reader::find_field(std::string_view field) const
{
    if (errors_.has_error())
        return nullptr;
    auto it = object_.find(field);
    return it == object_.end() ? nullptr : &*it;
}

} // namespace turmericlane
