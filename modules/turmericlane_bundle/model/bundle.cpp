#include "bundle.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

const service_map* bundle::find_service(std::string_view name) const noexcept
{
    for (const auto& it : services)
        if (it.name == name)
            return &it;
    return nullptr;
}

const service_map* bundle::find_service(std::uint32_t id) const noexcept
{
    for (const auto& it : services)
        if (it.id == id)
            return &it;
    return nullptr;
}

const group* bundle::find_group(group_id id) const noexcept
{
    const auto* service = find_service(id.service);
    if (service == nullptr || id.partition >= service->groups.size())
        return nullptr;
    return &service->groups[id.partition];
}

std::uint32_t
bundle::connection_share(const service_map& service) const noexcept
{
    assert(owner_candidates > 0);
    auto candidate_count = std::min(owner_candidates, max_instances);
    return std::max(1U, service.connection_limit / (2 * candidate_count));
}

} // namespace turmericlane
