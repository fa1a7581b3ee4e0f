#include "real_setting.h"

#include <array>
#include <cassert>
#include <charconv>

namespace turmericlane
{

namespace
{

/** Shortest text that reads back as the same number. */
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
    double lowest,
    double highest)
    : setting(std::move(description))
    , value_(default_value)
    , lowest_(lowest)
    , highest_(highest)
{
    assert(lowest <= default_value && default_value <= highest);
}

double real_setting::value() const noexcept
{
    return value_;
}

bool real_setting::assign(std::string_view text)
{
    double parsed = 0.0;
    const auto* end = text.data() + text.size();
    auto [stop, ec] = std::from_chars(text.data(), end, parsed);
    if (ec != std::errc() || stop != end)
        return false;
    // Not-a-number fails both comparisons.
    if (!(parsed >= lowest_ && parsed <= highest_))
        return false;
    value_ = parsed;
    return true;
}

std::string real_setting::text() const
{
    return shortest_text(value_);
}

std::string real_setting::accepted() const
{
    return shortest_text(lowest_) + " to " + shortest_text(highest_);
}

} // namespace turmericlane
