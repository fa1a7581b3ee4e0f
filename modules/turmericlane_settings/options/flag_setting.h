#pragma once

#include "setting.h"

namespace turmericlane
{

/** A choice between true and false; false by default. As a flag it needs no
    value. */
class flag_setting final : public setting
{
public:
    using setting::setting;

    /** The present value. */
    bool value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted() const override;
    bool is_flag() const noexcept override;

private:
    bool value_ = false;
};

} // namespace turmericlane
