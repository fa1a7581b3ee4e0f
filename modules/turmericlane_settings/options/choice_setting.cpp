#include "choice_setting.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

choice_setting::choice_setting(
    setting_description description, std::vector<std::string> choices)
    : setting(std::move(description))
    , choices_(std::move(choices))
{
    assert(!choices_.empty());
    value_ = choices_.front();
}

const std::string& choice_setting::value() const noexcept
{
    return value_;
}

bool choice_setting::assign(std::string_view text)
{
    auto position = std::find(choices_.begin(), choices_.end(), text);
    if (position == choices_.end())
        return false;
    value_ = *position;
    return true;
}

std::string choice_setting::text() const
{
    return value_;
}

std::string choice_setting::accepted_values() const
{
    std::string result;
    for (const auto& it : choices_)
        result += (result.empty() ? "" : ", ") + it;
    return result;
}

} // namespace turmericlane
