#pragma once

#include "ip_endpoint.h"
#include "setting.h"

#include <cstddef>
#include <vector>

namespace turmericlane
{

/** A setting whose value is a list of endpoints, separated by commas. */
class endpoint_list_setting final : public setting
{
public:
    /** @param description  name, help text and kind of the setting
        @param max_endpoints  highest accepted number of endpoints */
    endpoint_list_setting(
        setting_description description, std::size_t max_endpoints);

    /** Returns the current list; empty if the setting has no value. */
    const std::vector<ip_endpoint>& value() const noexcept;

    bool assign(std::string_view text) override;
    std::string text() const override;
    std::string accepted_values() const override;

private:
    std::size_t max_endpoints_;
    std::vector<ip_endpoint> value_;
};

} // namespace turmericlane
