#include "integer_setting.h"

#include <cassert>
#include <charconv>

namespace turmericlane
{

integer_setting::integer_setting(
    setting_description description,
    std::int64_t default_value,
    std::int64_t minimum,
    std::int64_t maximum)
    : setting(std::move(description))
    , value_(default_value)
    , minimum_(minimum)
    , maximum_(maximum)
{
    assert(minimum <= default_value && default_value <= maximum);
}

std::int64_t integer_setting::value() const noexcept
{
    return value_;
}

bool integer_setting::assign(std::string_view text)
{
    std::int64_t parsed_value = 0;
    const auto* end = text.data() + text.size();
    auto [parse_end, ec] = std::from_chars(text.data(), end, parsed_value);
    if (ec != std::errc() || parse_end != end)
        return false;
    if (parsed_value < minimum_ || parsed_value > maximum_)
        return false;
    value_ = parsed_value;
    return true;
}

std::string integer_setting::text() const
{
    return std::to_string(value_);
}

std::string integer_setting::accepted_values() const
{
    return std::to_string(minimum_) + " to " + std::to_string(maximum_);
}

} // namespace turmericlane
