#include "endpoint_list_setting.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

endpoint_list_setting::endpoint_list_setting(
    setting_description description, std::size_t largest)
    : setting(std::move(description))
    , largest_(largest)
{
    assert(largest > 0);
}

const std::vector<ip_endpoint>& endpoint_list_setting::value() const noexcept
{
    return value_;
}

bool endpoint_list_setting::assign(std::string_view text)
{
    std::vector<ip_endpoint> parsed;
    std::size_t position = 0;
    while (position <= text.size())
    {
        auto comma = std::min(text.find(',', position), text.size());
        auto found = parse_ip_endpoint(text.substr(position, comma - position));
        if (!found || parsed.size() == largest_)
            return false;
        parsed.push_back(std::move(*found));
        position = comma + 1;
    }
    value_ = std::move(parsed);
    return true;
}

std::string endpoint_list_setting::text() const
{
    std::string list;
    for (const auto& it : value_)
    {
        if (!list.empty())
            list += ',';
        list += it.to_string();
    }
    return list;
}

std::string endpoint_list_setting::accepted() const
{
    if (largest_ == 1)
        return "IP:PORT";
    return "1 to " + std::to_string(largest_) + " of IP:PORT, with commas";
}

} // namespace turmericlane
