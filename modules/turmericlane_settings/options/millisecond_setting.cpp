#include "millisecond_setting.h"

namespace turmericlane
{

namespace
{

setting_description with_millisecond_unit(setting_description description)
{
    description.unit = "ms";
    return description;
}

} // namespace

millisecond_setting::millisecond_setting(
    setting_description description,
    std::chrono::milliseconds default_value,
    std::chrono::milliseconds minimum,
    std::chrono::milliseconds maximum)
    : integer_setting(
          with_millisecond_unit(std::move(description)),
          default_value.count(),
          minimum.count(),
          maximum.count())
{
}

std::chrono::milliseconds millisecond_setting::as_duration() const noexcept
{
    return std::chrono::milliseconds(value());
}

} // namespace turmericlane
