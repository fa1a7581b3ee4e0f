#pragma once

#include "setting.h"

namespace turmericlane
{

/** A setting whose value is a real number within a range. */
class real_setting final : public setting
{
public:
    /** The default value must lie between minimum and maximum, inclusive. */
    real_setting(
        setting_description description,
        double default_value,
        double minimum,
        double maximum);

    /** Returns the current value. */
    double value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted_values() const override;

private:
    double value_;
    double minimum_;
    double maximum_;
};

} // namespace turmericlane
