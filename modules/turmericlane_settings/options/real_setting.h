#pragma once

#include "setting.h"

namespace turmericlane
{

/** A real number within a range. */
class real_setting final : public setting
{
public:
    /** The default has to be in the range from lowest to highest. */
    real_setting(
        setting_description description,
        double default_value,
        double lowest,
        double highest);

    /** The present value. */
    double value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted() const override;

private:
    double value_;
    double lowest_;
    double highest_;
};

} // namespace turmericlane
