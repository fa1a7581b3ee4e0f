#include "field_reader.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Longest time until the deadline that a caller may request. */
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
    const auto field = object.find("request_id");
    if (field == object.end() || !field->is_string())
        return {};
    return field->get<std::string>();
}

} // namespace

std::string request_id_of(std::string_view body)
{
    return request_id_in(nlohmann::json::parse(body, nullptr, false));
}

field_reader::field_reader(
    std::string_view body, std::span<const std::string_view> allowed_names)
    : object_(nlohmann::json::parse(body, nullptr, false))
{
    if (object_.is_discarded() || !object_.is_object())
    {
        set_error(reason::bad_json, "the body is not a JSON object");
        return;
    }
    caller_request_id_ = request_id_in(object_);
    for (const auto& it : object_.items())
        if (std::find(allowed_names.begin(), allowed_names.end(), it.key()) ==
            allowed_names.end())
            set_error(
                reason::bad_field, field_label(it.key()) + " is not known");
}

const nlohmann::json*
field_reader::find(std::string_view name, bool is_required)
{
    if (error_)
        return nullptr;
    const auto it = object_.find(std::string(name));
    if (it != object_.end())
        return &*it;
    if (is_required)
        set_error(reason::missing_field, field_label(name) + " is missing");
    return nullptr;
}

std::string field_reader::read_text(
    std::string_view name,
    std::size_t min_bytes,
    std::size_t max_bytes,
    std::optional<std::string> default_value)
{
    const auto* field = find(name, !default_value.has_value());
    if (field == nullptr)
        return error_ ? std::string() : std::move(*default_value);
    if (!field->is_string())
    {
        set_error(reason::bad_field, field_label(name) + " is not a string");
        return {};
    }
    auto value = field->get<std::string>();
    if (value.size() < min_bytes || value.size() > max_bytes)
    {
        set_error(
            reason::bad_field, field_label(name) + " must have " +
                                   range_text(
                                       static_cast<std::int64_t>(min_bytes),
                                       static_cast<std::int64_t>(max_bytes)) +
                                   " bytes");
        return {};
    }
    return value;
}

std::int64_t field_reader::read_integer(
    std::string_view name,
    std::int64_t min,
    std::int64_t max,
    std::optional<std::int64_t> default_value)
{
    const auto* field = find(name, !default_value.has_value());
    if (field == nullptr)
        return error_ ? min : *default_value;
    auto is_valid = field->is_number_integer();
    // A value above the signed range would become negative.
    if (is_valid && field->is_number_unsigned())
        is_valid = field->get<std::uint64_t>() <= INT64_MAX;
    const auto value = is_valid ? field->get<std::int64_t>() : min;
    if (!is_valid || value < min || value > max)
    {
        set_error(
            reason::bad_field, field_label(name) + " must be an integer from " +
                                   range_text(min, max));
        return min;
    }
    return value;
}

std::vector<std::string>
field_reader::read_texts(std::string_view name, std::size_t max_count)
{
    const auto* field = find(name, true);
    if (field == nullptr)
        return {};
    if (!field->is_array() || field->empty() || field->size() > max_count)
    {
        set_error(
            reason::bad_field, field_label(name) + " must be a list of 1 to " +
                                   std::to_string(max_count) + " strings");
        return {};
    }
    std::vector<std::string> values;
    for (const auto& it : *field)
    {
        if (!it.is_string() ||
            it.get_ref<const std::string&>().size() > max_list_text_bytes)
        {
            set_error(
                reason::bad_field, field_label(name) + " holds a bad entry");
            return {};
        }
        values.push_back(it.get<std::string>());
    }
    auto sorted = values;
    std::sort(sorted.begin(), sorted.end());
    if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
        set_error(reason::bad_field, field_label(name) + " repeats an entry");
    return values;
}

rank field_reader::read_rank(std::string_view name)
{
    const auto* field = find(name, false);
    if (field == nullptr)
        return rank::ordinary;
    if (field->is_string())
        if (auto value = parse_rank(field->get_ref<const std::string&>()))
            return *value;
    set_error(
        reason::bad_field,
        field_label(name) + " must be urgent, ordinary or archive");
    return rank::ordinary;
}

std::chrono::milliseconds field_reader::read_time_left(
    std::string_view name, std::chrono::milliseconds default_value)
{
    const auto* field = find(name, false);
    if (field == nullptr)
        return default_value;
    if (field->is_number_integer() && !field->is_number_unsigned() &&
        field->get<std::int64_t>() <= 0)
    {
        set_error(reason::deadline_past, field_label(name) + " is in the past");
        return default_value;
    }
    if (field->is_number_unsigned() && field->get<std::uint64_t>() == 0)
    {
        set_error(reason::deadline_past, field_label(name) + " is in the past");
        return default_value;
    }
    return std::chrono::milliseconds(
        read_integer(name, 1, max_deadline.count(), default_value.count()));
}

void field_reader::set_error(reason cause, std::string detail)
{
    if (!error_)
        error_ = make_refusal(cause, std::move(detail), caller_request_id_);
}

} // namespace turmericlane
