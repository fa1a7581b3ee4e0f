#include "integer_setting.h"

#include <cassert>
#include <charconv>

namespace turmericlane
{

integer_setting::integer_setting(
    setting_description description,
    std::int64_t default_value,
    std::int64_t lowest,
    std::int64_t highest)
    : setting(std::move(description))
    , value_(default_value)
    , lowest_(lowest)
    , highest_(highest)
{
    assert(lowest <= default_value && default_value <= highest);
}

std::int64_t integer_setting::value() const noexcept
{
    return value_;
}

bool integer_setting::assign(std::string_view text)
{
    std::int64_t parsed = 0;
    const auto* end = text.data() + text.size();
    auto [stop, ec] = std::from_chars(text.data(), end, parsed);
    if (ec != std::errc() || stop != end)
        return false;
    if (parsed < lowest_ || parsed > highest_)
        return false;
    value_ = parsed;
    return true;
}

std::string integer_setting::text() const
{
    return std::to_string(value_);
}

std::string integer_setting::accepted() const
{
    return std::to_string(lowest_) + " to " + std::to_string(highest_);
}

} // namespace turmericlane
