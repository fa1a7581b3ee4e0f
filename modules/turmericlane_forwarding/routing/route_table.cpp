#include "route_table.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

std::string lower_case(std::string_view text)
{
    std::string result(text);
    for (auto& it : result)
    {
        if (it >= 'A' && it <= 'Z')
            it = static_cast<char>(it - 'A' + 'a');
    }
    return result;
}

} // namespace

route_table::route_table(route_configuration configuration, double phase)
    : configuration_(std::move(configuration))
{
    for (const auto& it : configuration_.routes)
    {
        const auto host = lower_case(it.host);
        routes_by_host_[host].push_back(&it);
        if (!it.home_regions.empty())
        {
            auto& regions = home_regions_by_host_[host];
            regions.insert(
                regions.end(), it.home_regions.begin(), it.home_regions.end());
        }
        if (it.services.size() > 1)
            splits_.emplace(&it, weighted_split(it.services, phase));
    }
    for (auto& [host, routes] : routes_by_host_)
        std::stable_sort(
            routes.begin(), routes.end(),
            [](const route* a, const route* b)
            { return a->prefix.size() > b->prefix.size(); });
    for (const auto& it : configuration_.services)
        max_connections_[it.name] = it.max_connections;
}

const route*
route_table::find(std::string_view host, std::string_view path) const
{
    const auto match = routes_by_host_.find(lower_case(host));
    if (match == routes_by_host_.end())
        return nullptr;
    for (const auto* it : match->second)
    {
        if (path.starts_with(it->prefix))
            return it;
    }
    return nullptr;
}

std::span<const std::string>
route_table::home_regions(std::string_view host) const
{
    const auto match = home_regions_by_host_.find(lower_case(host));
    if (match == home_regions_by_host_.end())
        return {};
    return match->second;
}

const std::string& route_table::next_service(const route& matched_route)
{
    assert(!matched_route.services.empty());
    const auto split = splits_.find(&matched_route);
    if (split == splits_.end())
        return matched_route.services.front().service;
    return matched_route.services[split->second.select_next()].service;
}

std::optional<std::uint32_t>
route_table::max_connections(const std::string& service) const
{
    const auto match = max_connections_.find(service);
    if (match == max_connections_.end())
        return std::nullopt;
    return match->second;
}

} // namespace turmericlane
