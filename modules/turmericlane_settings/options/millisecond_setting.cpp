#include "millisecond_setting.h"

namespace turmericlane
{

namespace
{

setting_description in_milliseconds(setting_description description)
{
    description.unit = "ms";
    return description;
}

} // namespace

millisecond_setting::millisecond_setting(
    setting_description description,
    std::chrono::milliseconds default_value,
    std::chrono::milliseconds lowest,
    std::chrono::milliseconds highest)
    : integer_setting(
          in_milliseconds(std::move(description)),
          default_value.count(),
          lowest.count(),
          highest.count())
{
}

std::chrono::milliseconds millisecond_setting::span() const noexcept
{
    return std::chrono::milliseconds(value());
}

} // namespace turmericlane
