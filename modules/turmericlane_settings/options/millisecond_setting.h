#pragma once

#include "integer_setting.h"

#include <chrono>

namespace turmericlane
{

/** A setting whose value is a duration, written as a number of milliseconds. */
class millisecond_setting final : public integer_setting
{
public:
    /** The default value must lie between minimum and maximum, inclusive. The
        unit of the description is set to ms. */
    millisecond_setting(
        setting_description description,
        std::chrono::milliseconds default_value,
        std::chrono::milliseconds minimum,
        std::chrono::milliseconds maximum);

    /** Returns the current value as a duration. */
    std::chrono::milliseconds as_duration() const noexcept;
};

} // namespace turmericlane
