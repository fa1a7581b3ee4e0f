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

std::string range_text(const nlohmann::json& low, const nlohmann::json& high)
{
    return "accepted: " + low.dump() + " to " + high.dump();
}

std::string type_error(const char* expected, const nlohmann::json& found)
{
    return std::string("must be ") + expected + ", not " + found.type_name();
}

bool is_name(std::string_view text)
{
    auto is_lower = [](char c) { return c >= 'a' && c <= 'z'; };
    auto is_inner = [&](char c)
    { return is_lower(c) || (c >= '0' && c <= '9') || c == '_'; };
    return !text.empty() && text.size() <= 64 && is_lower(text.front()) &&
           std::all_of(text.begin(), text.end(), is_inner);
}

bool is_normal_address(const std::string& text, int family)
{
    unsigned char raw[sizeof(in6_addr)];
    char normal[INET6_ADDRSTRLEN];
    return inet_pton(family, text.c_str(), raw) == 1 &&
           inet_ntop(family, raw, normal, sizeof(normal)) != nullptr &&
           text == normal;
}

} // namespace

object_reader::object_reader(
    const nlohmann::json& value,
    std::string path,
    std::initializer_list<std::string_view> fields,
    read_errors& errors,
    std::initializer_list<std::string_view> optional)
    : value_(value)
    , path_(std::move(path))
    , errors_(errors)
{
    if (!value.is_object())
    {
        errors_.add(path_, type_error("an object", value));
        return;
    }
    auto contains = [](const auto& names, const std::string& name)
    { return std::find(names.begin(), names.end(), name) != names.end(); };
    for (const auto& it : value.items())
        if (!contains(fields, it.key()) && !contains(optional, it.key()))
            fail(it.key(), "unknown field");
    for (auto it : fields)
        if (!value.contains(it))
            fail(it, "missing field");
}

std::uint64_t object_reader::integer(
    std::string_view field, std::uint64_t lowest, std::uint64_t highest) const
{
    assert(lowest <= highest);
    const auto* found = find(field);
    if (found == nullptr)
        return lowest;
    if (!found->is_number())
    {
        fail(field, type_error("an integer", *found));
        return lowest;
    }
    if (found->is_number_unsigned())
    {
        auto value = found->get<std::uint64_t>();
        if (value >= lowest && value <= highest)
            return value;
    }
    const auto* problem = found->is_number_float() ? " is not an integer; "
                                                   : " is out of range; ";
    fail(field, found->dump() + problem + range_text(lowest, highest));
    return lowest;
}

std::uint32_t object_reader::integer32(
    std::string_view field, std::uint32_t lowest, std::uint32_t highest) const
{
    return static_cast<std::uint32_t>(integer(field, lowest, highest));
}

double object_reader::number(
    std::string_view field, double lowest, double highest) const
{
    assert(lowest <= highest);
    const auto* found = find(field);
    if (found == nullptr)
        return lowest;
    if (!found->is_number())
    {
        fail(field, type_error("a number", *found));
        return lowest;
    }
    auto value = found->get<double>();
    if (value >= lowest && value <= highest)
        return value;
    fail(
        field,
        found->dump() + " is out of range; " + range_text(lowest, highest));
    return lowest;
}

bool object_reader::boolean(std::string_view field) const
{
    const auto* found = find(field);
    if (found == nullptr)
        return false;
    if (found->is_boolean())
        return found->get<bool>();
    fail(field, type_error("true or false", *found));
    return false;
}

std::string object_reader::name(std::string_view field) const
{
    const auto* found = find(field);
    return found == nullptr ? std::string() : read_name(path_of(field), *found);
}

std::vector<std::string>
object_reader::optional_names(std::string_view field, std::size_t highest) const
{
    std::vector<std::string> made;
    if (find(field) == nullptr)
        return made;
    for (const auto& it : array(field, 0, highest))
        made.push_back(
            read_name(element_path(path_of(field), made.size()), it));
    return made;
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
    const auto* found = find(field);
    if (found == nullptr)
        return {};
    if (!found->is_string())
    {
        fail(field, type_error("a string", *found));
        return {};
    }
    auto text = found->get<std::string>();
    if (!is_normal_address(text, AF_INET) && !is_normal_address(text, AF_INET6))
        fail(
            field, found->dump() +
                       " is not an IP number; accepted: IPv4, or IPv6 in its "
                       "shortest form");
    return text;
}

void object_reader::hex(
    std::string_view field, std::span<std::uint8_t> into) const
{
    const auto* found = find(field);
    if (found == nullptr)
        return;
    if (found->is_string() &&
        from_hex(found->get_ref<const std::string&>(), into))
        return;
    fail(
        field,
        "must be " + std::to_string(into.size() * 2) + " hexadecimal digits");
}

const nlohmann::json& object_reader::array(
    std::string_view field, std::size_t lowest, std::size_t highest) const
{
    static const auto empty = nlohmann::json::array();
    const auto* found = find(field);
    if (found == nullptr)
        return empty;
    if (!found->is_array())
    {
        fail(field, type_error("an array", *found));
        return empty;
    }
    if (found->size() >= lowest && found->size() <= highest)
        return *found;
    fail(
        field, std::to_string(found->size()) + " elements; " +
                   range_text(lowest, highest));
    return empty;
}

const nlohmann::json& object_reader::value(std::string_view field) const
{
    static const nlohmann::json null;
    const auto* found = find(field);
    return found == nullptr ? null : *found;
}

std::string object_reader::path_of(std::string_view field) const
{
    return member_path(path_, field);
}

void object_reader::fail(std::string_view field, std::string detail) const
{
    errors_.add(path_of(field), std::move(detail));
}

const nlohmann::json* object_reader::find(std::string_view field) const
{
    if (errors_.failed())
        return nullptr;
    auto it = value_.find(field);
    return it == value_.end() ? nullptr : &*it;
}

} // namespace turmericlane
