#pragma once

#include "setting.h"

#include <cstddef>

namespace turmericlane
{

/** A setting whose value is a text of limited length. The default is an empty
    text, which means that the setting has no value. */
class text_setting final : public setting
{
public:
    /** @param description  name, help text and kind of the setting
        @param value_kind  what the value is, such as `file name`; for messages
        @param max_bytes  highest accepted length in bytes */
    text_setting(
        setting_description description,
        std::string value_kind,
        std::size_t max_bytes = 4096);

    /** Returns the current text; empty if the setting has no value. */
    const std::string& value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted_values() const override;

private:
    std::string value_kind_;
    std::size_t max_bytes_;
    std::string value_;
};

} // namespace turmericlane
