#include "instance_answer.h"

#include <algorithm>
#include <map>

namespace turmericlane
{

namespace
{

/** Instances of one data centre, rotated. */
struct part
{
    std::vector<member> instances;
    std::size_t taken = 0;
};

std::size_t distance(
    const member& it,
    const std::string& own,
    std::span<const std::string> nearest)
{
    if (it.data_centre == own)
        return 0;
    auto found = std::find(nearest.begin(), nearest.end(), it.data_centre);
    return 1 + static_cast<std::size_t>(found - nearest.begin());
}

std::vector<part>
parts_of(const membership_table& table, std::span<const std::string> nearest)
{
    std::map<std::pair<std::size_t, std::string>, part> sorted;
    auto own = table.self().data_centre;
    auto add = [&](const member& it)
    {
        if (it.state != member_state::live ||
            table.is_listed_as_leaving(it.listen_endpoint))
            return;
        auto key = std::pair(distance(it, own, nearest), it.data_centre);
        sorted[key].instances.push_back(it);
    };
    add(table.self());
    for (const auto& it : table.members())
        add(it);
    std::vector<part> made;
    made.reserve(sorted.size());
    for (auto& [key, it] : sorted)
        made.push_back(std::move(it));
    return made;
}

void rotate(std::vector<part>& parts, std::uint64_t rotation)
{
    for (auto& it : parts)
    {
        auto& all = it.instances;
        std::sort(
            all.begin(), all.end(),
            [](const member& a, const member& b) {
                return std::pair(a.index, a.nonce) <
                       std::pair(b.index, b.nonce);
            });
        auto n = static_cast<std::ptrdiff_t>(rotation % all.size());
        std::rotate(all.begin(), all.begin() + n, all.end());
    }
}

/** Fills the answer with one instance of each part in turn, so that a caller
    whose nearest data centres fail knows others. Returns the places left. */
std::size_t take_in_turns(std::span<part> parts, std::size_t free)
{
    for (bool more = true; more && free > 0;)
    {
        more = false;
        for (auto& it : parts)
        {
            if (free == 0 || it.taken == it.instances.size())
                continue;
            ++it.taken;
            --free;
            more = true;
        }
    }
    return free;
}

} // namespace

instance_answer make_instance_answer(
    const membership_table& table,
    std::span<const std::string> nearest,
    std::uint64_t rotation,
    const instance_answer_limits& limits)
{
    auto parts = parts_of(table, nearest);
    rotate(parts, rotation);
    instance_answer made;
    made.lifetime = limits.lifetime;
    if (parts.empty())
        return made;
    // A quarter of the answer is kept for other data centres, if there are any.
    auto share = parts.size() > 1 ? limits.instances - limits.instances / 4
                                  : limits.instances;
    auto& first = parts.front();
    first.taken = std::min(first.instances.size(), share);
    auto others = std::span(parts).subspan(1);
    auto free = take_in_turns(others, limits.instances - first.taken);
    first.taken = std::min(first.instances.size(), first.taken + free);
    for (const auto& it : parts)
        made.instances.insert(
            made.instances.end(), it.instances.begin(),
            it.instances.begin() + static_cast<std::ptrdiff_t>(it.taken));
    return made;
}

} // namespace turmericlane
