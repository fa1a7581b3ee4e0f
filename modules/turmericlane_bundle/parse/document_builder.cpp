#include "document_builder.h"

#include "json_path.h"

#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

/** Nesting of a bundle in an envelope is 8. */
constexpr std::size_t max_depth = 16;

/** Integers up to here are exact as real numbers. */
constexpr double max_exact_integer = 9007199254740992.0;

} // namespace

const std::optional<bundle_error>& document_builder::error() const noexcept
{
    return error_;
}

nlohmann::json document_builder::take()
{
    assert(!error_);
    assert(open_.empty());
    return std::move(document_);
}

bool document_builder::null()
{
    place(nullptr);
    return true;
}

bool document_builder::boolean(bool value)
{
    place(value);
    return true;
}

bool document_builder::number_integer(number_integer_t value)
{
    place(value);
    return true;
}

bool document_builder::number_unsigned(number_unsigned_t value)
{
    place(value);
    return true;
}

bool document_builder::number_float(number_float_t value, const string_t&)
{
    auto whole =
        std::trunc(value) == value && std::abs(value) <= max_exact_integer;
    if (!whole)
        place(value);
    else if (value < 0)
        place(static_cast<number_integer_t>(value));
    else
        place(static_cast<number_unsigned_t>(value));
    return true;
}

bool document_builder::string(string_t& value)
{
    place(std::move(value));
    return true;
}

bool document_builder::binary(binary_t&)
{
    return fail("binary values are not JSON");
}

bool document_builder::start_object(std::size_t)
{
    return open(nlohmann::json::object());
}

bool document_builder::key(string_t& value)
{
    auto& top = open_.back();
    top.key = std::move(value);
    if (top.container->contains(top.key))
        return fail("duplicate field");
    return true;
}

bool document_builder::end_object()
{
    return close();
}

bool document_builder::start_array(std::size_t)
{
    return open(nlohmann::json::array());
}

bool document_builder::end_array()
{
    return close();
}

bool document_builder::parse_error(
    std::size_t, const std::string&, const nlohmann::json::exception& why)
{
    std::string detail = why.what();
    auto end_of_tag = detail.find("] ");
    if (end_of_tag != std::string::npos)
        detail.erase(0, end_of_tag + 2);
    error_ = bundle_error{{}, {}, std::move(detail)};
    return false;
}

nlohmann::json* document_builder::place(nlohmann::json value)
{
    if (open_.empty())
    {
        document_ = std::move(value);
        return &document_;
    }
    auto& top = open_.back();
    if (top.container->is_array())
    {
        top.container->push_back(std::move(value));
        return &top.container->back();
    }
    auto& placed = (*top.container)[top.key];
    placed = std::move(value);
    return &placed;
}

bool document_builder::open(nlohmann::json container)
{
    if (open_.size() == max_depth)
        return fail("nested deeper than " + std::to_string(max_depth));
    open_.push_back({place(std::move(container)), {}});
    return true;
}

bool document_builder::close()
{
    open_.pop_back();
    return true;
}

bool document_builder::fail(std::string detail)
{
    error_ = bundle_error{{}, path(), std::move(detail)};
    return false;
}

std::string document_builder::path() const
{
    std::string path;
    for (const auto& it : open_)
    {
        if (it.container->is_object())
            path = member_path(path, it.key);
        else if (!it.container->empty())
            path = element_path(path, it.container->size() - 1);
    }
    return path;
}

} // namespace turmericlane
