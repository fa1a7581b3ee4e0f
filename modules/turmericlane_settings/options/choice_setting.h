#pragma once

#include "setting.h"

#include <vector>

namespace turmericlane
{

/** A setting whose value is one of several words. */
class choice_setting final : public setting
{
public:
    /** @param description  name, help text and kind of the setting
        @param choices  at least one accepted word; the first is the default */
    choice_setting(
        setting_description description, std::vector<std::string> choices);

    /** Returns the current word. */
    const std::string& value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted_values() const override;

private:
    std::vector<std::string> choices_;
    std::string value_;
};

} // namespace turmericlane
