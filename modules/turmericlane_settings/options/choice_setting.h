#pragma once

#include "setting.h"

#include <vector>

namespace turmericlane
{

/** One of several words. */
class choice_setting final : public setting
{
public:
    /** The first choice is the default; there has to be one. */
    choice_setting(
        setting_description description, std::vector<std::string> choices);

    /** The present word. */
    const std::string& value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted() const override;

private:
    std::vector<std::string> choices_;
    std::string value_;
};

} // namespace turmericlane
