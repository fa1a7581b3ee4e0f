#include "flag_setting.h"

namespace turmericlane
{

bool flag_setting::value() const noexcept
{
    return value_;
}

bool flag_setting::assign(std::string_view text)
{
    auto is_true = text == "true" || text == "1";
    if (!is_true && text != "false" && text != "0")
        return false;
    value_ = is_true;
    return true;
}

std::string flag_setting::text() const
{
    return value_ ? "true" : "false";
}

std::string flag_setting::accepted_values() const
{
    return "true, false, 1 or 0";
}

bool flag_setting::is_flag() const noexcept
{
    return true;
}

} // namespace turmericlane
