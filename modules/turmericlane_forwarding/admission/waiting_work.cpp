#include "waiting_work.h"

namespace turmericlane
{

void waiting_work::add(
    const std::string& service, std::uint32_t rank, const waiting_part& part)
{
    services_[service][rank].push_back(part);
}

waiting_work::rank_queues* waiting_work::find(const std::string& service)
{
    const auto match = services_.find(service);
    return match == services_.end() ? nullptr : &match->second;
}

const waiting_work::rank_queues*
waiting_work::find(const std::string& service) const
{
    const auto match = services_.find(service);
    return match == services_.end() ? nullptr : &match->second;
}

std::size_t
waiting_work::count_ahead(const std::string& service, std::uint32_t rank) const
{
    const auto match = services_.find(service);
    if (match == services_.end())
        return 0;
    std::size_t count = 0;
    for (const auto& [queue_rank, parts] : match->second)
    {
        if (queue_rank <= rank)
            count += parts.size();
    }
    return count;
}

} // namespace turmericlane
