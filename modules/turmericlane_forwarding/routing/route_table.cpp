#include "route_table.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

std::string lower_case(std::string_view text)
{
    std::string made(text);
    for (auto& it : made)
    {
        if (it >= 'A' && it <= 'Z')
            it = static_cast<char>(it - 'A' + 'a');
    }
    return made;
}

} // namespace

route_table::route_table(route_configuration configuration, double phase)
    : configuration_(std::move(configuration))
{
    for (const auto& it : configuration_.routes)
    {
        hosts_[lower_case(it.host)].push_back(&it);
        if (it.services.size() > 1)
            splits_.emplace(&it, weighted_split(it.services, phase));
    }
    for (auto& [host, routes] : hosts_)
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
    const auto found = hosts_.find(lower_case(host));
    if (found == hosts_.end())
        return nullptr;
    for (const auto* it : found->second)
    {
        if (path.starts_with(it->prefix))
            return it;
    }
    return nullptr;
}

const std::string& route_table::next_service(const route& of)
{
    assert(!of.services.empty());
    const auto split = splits_.find(&of);
    if (split == splits_.end())
        return of.services.front().service;
    return of.services[split->second.next()].service;
}

std::optional<std::uint32_t>
route_table::max_connections(const std::string& service) const
{
    const auto found = max_connections_.find(service);
    if (found == max_connections_.end())
        return std::nullopt;
    return found->second;
}

} // namespace turmericlane
