#pragma once

#include "integer_setting.h"

#include <chrono>

namespace turmericlane
{

/** A span of time, written as a number of milliseconds. */
class millisecond_setting final : public integer_setting
{
public:
    /** The default has to be in the range from lowest to highest. The unit of
        the description is set to ms. */
    millisecond_setting(
        setting_description description,
        std::chrono::milliseconds default_value,
        std::chrono::milliseconds lowest,
        std::chrono::milliseconds highest);

    /** The present value as a span of time. */
    std::chrono::milliseconds span() const noexcept;
};

} // namespace turmericlane
