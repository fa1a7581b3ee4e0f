#include "text_setting.h"

#include <cassert>

namespace turmericlane
{

text_setting::text_setting(
    setting_description description, std::string form, std::size_t longest)
    : setting(std::move(description))
    , form_(std::move(form))
    , longest_(longest)
{
    assert(longest > 0);
}

const std::string& text_setting::value() const noexcept
{
    return value_;
}

bool text_setting::assign(std::string_view text)
{
    if (text.empty() || text.size() > longest_)
        return false;
    value_ = text;
    return true;
}

std::string text_setting::text() const
{
    return value_;
}

std::string text_setting::accepted() const
{
    return form_ + " of 1 to " + std::to_string(longest_) + " bytes";
}

} // namespace turmericlane
