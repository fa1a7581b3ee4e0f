#pragma once

#include "setting.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace turmericlane
{

/** IP number and TCP port. */
struct ip_endpoint
{
    /** IPv4 or IPv6 number without brackets. */
    std::string address;
    std::uint16_t port = 0;

    /** `address:port`, with brackets around an IPv6 number. */
    std::string to_string() const;

    friend bool operator==(const ip_endpoint&, const ip_endpoint&) = default;
};

/** Reads `127.0.0.1:80` or `[::1]:80`; host names are not accepted.
    @returns nothing if the text is not an ip_endpoint */
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

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
