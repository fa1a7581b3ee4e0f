#pragma once

#include "setting.h"

namespace turmericlane
{

/** A setting that is true or false; false by default. On the command line its
    flag needs no value. */
class flag_setting final : public setting
{
public:
    using setting::setting;

    /** Returns the current value. */
    bool value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted_values() const override;
    bool is_flag() const noexcept override;

private:
    bool value_ = false;
};

} // namespace turmericlane
