#pragma once

#include "setting.h"

#include <cstdint>

namespace turmericlane
{

/** An integer within a range. */
class integer_setting : public setting
{
public:
    /** The default has to be in the range from lowest to highest. */
    integer_setting(
        setting_description description,
        std::int64_t default_value,
        std::int64_t lowest,
        std::int64_t highest);

    /** The present value. */
    std::int64_t value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted() const override;

private:
    std::int64_t value_;
    std::int64_t lowest_;
    std::int64_t highest_;
};

} // namespace turmericlane
