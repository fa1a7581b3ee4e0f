#pragma once

#include "setting.h"

#include <cstdint>

namespace turmericlane
{

/** A setting whose value is an integer within a range. */
class integer_setting : public setting
{
public:
    /** The default value must lie between minimum and maximum, inclusive. */
    integer_setting(
        setting_description description,
        std::int64_t default_value,
        std::int64_t minimum,
        std::int64_t maximum);

    /** Returns the current value. */
    std::int64_t value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted_values() const override;

private:
    std::int64_t value_;
    std::int64_t minimum_;
    std::int64_t maximum_;
};

} // namespace turmericlane
