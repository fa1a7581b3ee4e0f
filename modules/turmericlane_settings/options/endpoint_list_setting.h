#pragma once

#include "ip_endpoint.h"
#include "setting.h"

#include <cstddef>
#include <vector>

namespace turmericlane
{

/** Endpoints separated by commas. */
class endpoint_list_setting final : public setting
{
public:
    /** @param description  what the setting states about itself
        @param largest      accepted number of endpoints */
    endpoint_list_setting(setting_description description, std::size_t largest);

    /** The present list; empty if it was not set. */
    const std::vector<ip_endpoint>& value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted() const override;

private:
    std::size_t largest_;
    std::vector<ip_endpoint> value_;
};

} // namespace turmericlane
