#include "instance_list.h"

namespace turmericlane
{

void instance_list::replace(
    std::span<const listed_instance> entries,
    const endpoint& self,
    time_point now)
{
    std::map<endpoint, std::optional<time_point>> new_entries;
    for (const auto& it : entries)
    {
        if (it.listen_endpoint == self)
            continue;
        auto& leaving_time = new_entries[it.listen_endpoint];
        if (it.leaving)
            leaving_time = leaving_since(it.listen_endpoint).value_or(now);
    }
    entries_ = std::move(new_entries);
}

std::optional<time_point>
instance_list::leaving_since(const endpoint& peer_endpoint) const
{
    auto it = entries_.find(peer_endpoint);
    return it == entries_.end() ? std::nullopt : it->second;
}

} // namespace turmericlane
