#include "document_builder.h"

#include "json_path.h"

#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

/** A bundle in an envelope needs 8 levels. */
constexpr std::size_t max_depth = 16;

/** Integers up to this magnitude are exact as double. */
constexpr double max_exact_integer = 9007199254740992.0;

} // namespace

const std::optional<bundle_error>& document_builder::error() const noexcept
{
    return error_;
}

nlohmann::json document_builder::take_document()
{
    assert(!error_);
    assert(open_values_.empty());
    return std::move(document_);
}

bool document_builder::null()
{
    add_value(nullptr);
    return true;
}

bool document_builder::boolean(bool value)
{
    add_value(value);
    return true;
}

bool document_builder::number_integer(number_integer_t value)
{
    add_value(value);
    return true;
}

bool document_builder::number_unsigned(number_unsigned_t value)
{
    add_value(value);
    return true;
}

bool document_builder::number_float(number_float_t value, const string_t&)
{
    auto is_whole =
        std::trunc(value) == value && std::abs(value) <= max_exact_integer;
    if (!is_whole)
        add_value(value);
    else if (value < 0)
        add_value(static_cast<number_integer_t>(value));
    else
        add_value(static_cast<number_unsigned_t>(value));
    return true;
}

bool document_builder::string(string_t& value)
{
    add_value(std::move(value));
    return true;
}

bool document_builder::binary(binary_t&)
{
    return fail("binary values are not JSON");
}

bool document_builder::start_object(std::size_t)
{
    return begin_container(nlohmann::json::object());
}

bool document_builder::key(string_t& value)
{
    auto& top = open_values_.back();
    top.key = std::move(value);
    if (top.container->contains(top.key))
        return fail("duplicate field");
    return true;
}

bool document_builder::end_object()
{
    return end_container();
}

bool document_builder::start_array(std::size_t)
{
    return begin_container(nlohmann::json::array());
}

bool document_builder::end_array()
{
    return end_container();
}

bool document_builder::parse_error(
    std::size_t, const std::string&, const nlohmann::json::exception& exception)
{
    std::string detail = exception.what();
    auto end_of_tag = detail.find("] ");
    if (end_of_tag != std::string::npos)
        detail.erase(0, end_of_tag + 2);
    error_ = bundle_error{{}, {}, std::move(detail)};
    return false;
}

nlohmann::json* document_builder::add_value(nlohmann::json value)
{
    if (open_values_.empty())
    {
        document_ = std::move(value);
        return &document_;
    }
    auto& top = open_values_.back();
    if (top.container->is_array())
    {
        top.container->push_back(std::move(value));
        return &top.container->back();
    }
    auto& member = (*top.container)[top.key];
    member = std::move(value);
    return &member;
}

bool document_builder::begin_container(nlohmann::json container)
{
    if (open_values_.size() == max_depth)
        return fail("nested deeper than " + std::to_string(max_depth));
    open_values_.push_back({add_value(std::move(container)), {}});
    return true;
}

bool document_builder::end_container()
{
    open_values_.pop_back();
    return true;
}

bool document_builder::fail(std::string detail)
{
    error_ = bundle_error{{}, current_path(), std::move(detail)};
    return false;
}

std::string document_builder::current_path() const
{
    std::string path;
    for (const auto& it : open_values_)
    {
        if (it.container->is_object())
            path = member_path(path, it.key);
        else if (!it.container->empty())
            path = element_path(path, it.container->size() - 1);
    }
    return path;
}

} // namespace turmericlane
