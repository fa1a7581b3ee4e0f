#include "setting.h"

#include <cassert>

namespace turmericlane
{

namespace
{

[[maybe_unused]] bool is_flag_name(std::string_view name)
{
    if (name.empty() || name.front() == '-' || name.back() == '-')
        return false;
    for (auto it : name)
        if (!(it >= 'a' && it <= 'z') && !(it >= '0' && it <= '9') && it != '-')
            return false;
    return true;
}

} // namespace

setting::setting(setting_description description)
    : description_(std::move(description))
{
    assert(is_flag_name(description_.name));
    assert(!description_.help.empty());
}

const setting_description& setting::description() const noexcept
{
    return description_;
}

std::string setting::environment_variable() const
{
    std::string result = "TURMERICLANE_";
    for (auto it : description_.name)
    {
        auto is_lower = it >= 'a' && it <= 'z';
        auto upper = is_lower ? static_cast<char>(it - 'a' + 'A') : it;
        result += it == '-' ? '_' : upper;
    }
    return result;
}

bool setting::is_flag() const noexcept
{
    return false;
}

} // namespace turmericlane
