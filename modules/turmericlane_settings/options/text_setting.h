#pragma once

#include "setting.h"

#include <cstddef>

namespace turmericlane
{

/** A text within a range of lengths. An empty text is the default and counts
    as not set. */
class text_setting final : public setting
{
public:
    /** @param description  what the setting states about itself
        @param form         form of the value for people, such as `file name`
        @param longest      accepted length in bytes */
    text_setting(
        setting_description description,
        std::string form,
        std::size_t longest = 4096);

    /** The present text; empty if it was not set. */
    const std::string& value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted() const override;

private:
    std::string form_;
    std::size_t longest_;
    std::string value_;
};

} // namespace turmericlane
