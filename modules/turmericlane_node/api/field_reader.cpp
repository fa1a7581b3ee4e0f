#include "field_reader.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Longest deadline that a caller may ask for. */
constexpr std::chrono::milliseconds max_deadline{60'000};

/** Longest string in a list. */
constexpr std::size_t max_list_text_bytes = 256;

std::string field_label(std::string_view name)
{
    return "field '" + std::string(name) + "'";
}

std::string range_text(std::int64_t min, std::int64_t max)
{
    return std::to_string(min) + " to " + std::to_string(max);
}

std::string request_id_in(const nlohmann::json& object)
{
    if (!object.is_object())
        return {};
    const auto found = object.find("request_id");
    if (found == object.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

} // namespace

std::string request_id_of(std::string_view body)
{
    return request_id_in(nlohmann::json::parse(body, nullptr, false));
}

field_reader::field_reader(
    std::string_view body, std::span<const std::string_view> allowed)
    : object_(nlohmann::json::parse(body, nullptr, false))
{
    if (object_.is_discarded() || !object_.is_object())
    {
        fail(reason::bad_json, "the body is not a JSON object");
        return;
    }
    caller_request_ = request_id_in(object_);
    for (const auto& it : object_.items())
        if (std::find(allowed.begin(), allowed.end(), it.key()) ==
            allowed.end())
            fail(reason::bad_field, field_label(it.key()) + " is not known");
}

const nlohmann::json* field_reader::find(std::string_view name, bool required)
{
    if (error_)
        return nullptr;
    const auto it = object_.find(std::string(name));
    if (it != object_.end())
        return &*it;
    if (required)
        fail(reason::missing_field, field_label(name) + " is missing");
    return nullptr;
}

std::string field_reader::text(
    std::string_view name,
    std::size_t min_bytes,
    std::size_t max_bytes,
    std::optional<std::string> otherwise)
{
    const auto* found = find(name, !otherwise.has_value());
    if (found == nullptr)
        return error_ ? std::string() : std::move(*otherwise);
    if (!found->is_string())
    {
        fail(reason::bad_field, field_label(name) + " is not a string");
        return {};
    }
    auto value = found->get<std::string>();
    if (value.size() < min_bytes || value.size() > max_bytes)
    {
        fail(
            reason::bad_field, field_label(name) + " must have " +
                                   range_text(
                                       static_cast<std::int64_t>(min_bytes),
                                       static_cast<std::int64_t>(max_bytes)) +
                                   " bytes");
        return {};
    }
    return value;
}

std::int64_t field_reader::integer(
    std::string_view name,
    std::int64_t min,
    std::int64_t max,
    std::optional<std::int64_t> otherwise)
{
    const auto* found = find(name, !otherwise.has_value());
    if (found == nullptr)
        return error_ ? min : *otherwise;
    auto valid = found->is_number_integer();
    // A value over the signed range would wrap to a negative one.
    if (valid && found->is_number_unsigned())
        valid = found->get<std::uint64_t>() <= INT64_MAX;
    const auto value = valid ? found->get<std::int64_t>() : min;
    if (!valid || value < min || value > max)
    {
        fail(
            reason::bad_field, field_label(name) + " must be an integer from " +
                                   range_text(min, max));
        return min;
    }
    return value;
}

std::vector<std::string>
field_reader::texts(std::string_view name, std::size_t max_count)
{
    const auto* found = find(name, true);
    if (found == nullptr)
        return {};
    if (!found->is_array() || found->empty() || found->size() > max_count)
    {
        fail(
            reason::bad_field, field_label(name) + " must be a list of 1 to " +
                                   std::to_string(max_count) + " strings");
        return {};
    }
    std::vector<std::string> values;
    for (const auto& it : *found)
    {
        if (!it.is_string() ||
            it.get_ref<const std::string&>().size() > max_list_text_bytes)
        {
            fail(reason::bad_field, field_label(name) + " holds a bad entry");
            return {};
        }
        values.push_back(it.get<std::string>());
    }
    auto sorted = values;
    std::sort(sorted.begin(), sorted.end());
    if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
        fail(reason::bad_field, field_label(name) + " repeats an entry");
    return values;
}

rank field_reader::work(std::string_view name)
{
    const auto* found = find(name, false);
    if (found == nullptr)
        return rank::ordinary;
    if (found->is_string())
        if (auto value = parse_rank(found->get_ref<const std::string&>()))
            return *value;
    fail(
        reason::bad_field,
        field_label(name) + " must be urgent, ordinary or archive");
    return rank::ordinary;
}

std::chrono::milliseconds field_reader::deadline(
    std::string_view name, std::chrono::milliseconds otherwise)
{
    const auto* found = find(name, false);
    if (found == nullptr)
        return otherwise;
    if (found->is_number_integer() && !found->is_number_unsigned() &&
        found->get<std::int64_t>() <= 0)
    {
        fail(reason::deadline_past, field_label(name) + " is in the past");
        return otherwise;
    }
    if (found->is_number_unsigned() && found->get<std::uint64_t>() == 0)
    {
        fail(reason::deadline_past, field_label(name) + " is in the past");
        return otherwise;
    }
    return std::chrono::milliseconds(
        integer(name, 1, max_deadline.count(), otherwise.count()));
}

void field_reader::fail(reason why, std::string detail)
{
    if (!error_)
        error_ = refuse(why, std::move(detail), caller_request_);
}

} // namespace turmericlane
