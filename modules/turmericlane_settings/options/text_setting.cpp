#include "text_setting.h"

#include <cassert>

namespace turmericlane
{

text_setting::text_setting(
    setting_description description,
    std::string value_kind,
    std::size_t max_bytes)
    : setting(std::move(description))
    , value_kind_(std::move(value_kind))
    , max_bytes_(max_bytes)
{
    assert(max_bytes > 0);
}

const std::string& text_setting::value() const noexcept
{
    return value_;
}

bool text_setting::assign(std::string_view text)
{
    if (text.empty() || text.size() > max_bytes_)
        return false;
    value_ = text;
    return true;
}

std::string text_setting::text() const
{
    return value_;
}

std::string text_setting::accepted_values() const
{
    return value_kind_ + " of 1 to " + std::to_string(max_bytes_) + " bytes";
}

} // namespace turmericlane
