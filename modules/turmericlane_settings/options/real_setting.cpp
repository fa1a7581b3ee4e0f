#include "real_setting.h"

#include <array>
#include <cassert>
#include <charconv>

namespace turmericlane
{

namespace
{

/** Returns the shortest text that is parsed as the same number. */
std::string shortest_text(double value)
{
    std::array<char, 32> buf{};
    auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    assert(ec == std::errc());
    return {buf.data(), end};
}

} // namespace

real_setting::real_setting(
    setting_description description,
    double default_value,
    double minimum,
    double maximum)
    : setting(std::move(description))
    , value_(default_value)
    , minimum_(minimum)
    , maximum_(maximum)
{
    assert(minimum <= default_value && default_value <= maximum);
}

double real_setting::value() const noexcept
{
    return value_;
}

bool real_setting::assign(std::string_view text)
{
    double parsed_value = 0.0;
    const auto* end = text.data() + text.size();
    auto [parse_end, ec] = std::from_chars(text.data(), end, parsed_value);
    if (ec != std::errc() || parse_end != end)
        return false;
    // NaN fails both comparisons and is thus refused.
    if (!(parsed_value >= minimum_ && parsed_value <= maximum_))
        return false;
    value_ = parsed_value;
    return true;
}

std::string real_setting::text() const
{
    return shortest_text(value_);
}

std::string real_setting::accepted_values() const
{
    return shortest_text(minimum_) + " to " + shortest_text(maximum_);
}

} // namespace turmericlane
