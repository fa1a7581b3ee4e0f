#include "endpoint_list_setting.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

endpoint_list_setting::endpoint_list_setting(
    setting_description description, std::size_t max_endpoints)
    : setting(std::move(description))
    , max_endpoints_(max_endpoints)
{
    assert(max_endpoints > 0);
}

const std::vector<ip_endpoint>& endpoint_list_setting::value() const noexcept
{
    return value_;
}

bool endpoint_list_setting::assign(std::string_view text)
{
    std::vector<ip_endpoint> endpoints;
    std::size_t position = 0;
    while (position <= text.size())
    {
        auto comma = std::min(text.find(',', position), text.size());
        auto endpoint =
            parse_ip_endpoint(text.substr(position, comma - position));
        if (!endpoint || endpoints.size() == max_endpoints_)
            return false;
        endpoints.push_back(std::move(*endpoint));
        position = comma + 1;
    }
    value_ = std::move(endpoints);
    return true;
}

std::string endpoint_list_setting::text() const
{
    std::string result;
    for (const auto& it : value_)
    {
        if (!result.empty())
            result += ',';
        result += it.to_string();
    }
    return result;
}

std::string endpoint_list_setting::accepted_values() const
{
    if (max_endpoints_ == 1)
        return "IP:PORT";
    return "1 to " + std::to_string(max_endpoints_) +
           " IP:PORT values, separated by commas";
}

} // namespace turmericlane
