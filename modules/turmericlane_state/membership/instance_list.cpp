#include "instance_list.h"

namespace turmericlane
{

void instance_list::read(
    std::span<const listed_instance> entries,
    const endpoint& self,
    time_point now)
{
    std::map<endpoint, std::optional<time_point>> made;
    for (const auto& it : entries)
    {
        if (it.where == self)
            continue;
        auto& since = made[it.where];
        if (it.leaving)
            since = leaving_since(it.where).value_or(now);
    }
    entries_ = std::move(made);
}

std::optional<time_point>
instance_list::leaving_since(const endpoint& where) const
{
    auto it = entries_.find(where);
    return it == entries_.end() ? std::nullopt : it->second;
}

} // namespace turmericlane
