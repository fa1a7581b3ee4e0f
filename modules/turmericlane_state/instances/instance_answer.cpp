#include "instance_answer.h"

#include <algorithm>
#include <map>

namespace turmericlane
{

namespace
{

/** Live instances of one data centre. */
struct data_centre_instances
{
    std::vector<member> instances;
    /** How many of them are in the answer, from the front. */
    std::size_t chosen_count = 0;
};

std::size_t distance(
    const member& instance,
    const std::string& own_data_centre,
    std::span<const std::string> nearest_data_centres)
{
    if (instance.data_centre == own_data_centre)
        return 0;
    auto match = std::find(
        nearest_data_centres.begin(), nearest_data_centres.end(),
        instance.data_centre);
    return 1 + static_cast<std::size_t>(match - nearest_data_centres.begin());
}

std::vector<data_centre_instances> group_by_data_centre(
    const membership_table& table,
    std::span<const std::string> nearest_data_centres)
{
    std::map<std::pair<std::size_t, std::string>, data_centre_instances>
        by_distance;
    auto own_data_centre = table.self().data_centre;
    auto add_instance = [&](const member& it)
    {
        if (it.state != member_state::live ||
            table.is_listed_as_leaving(it.listen_endpoint))
            return;
        auto key = std::pair(
            distance(it, own_data_centre, nearest_data_centres),
            it.data_centre);
        by_distance[key].instances.push_back(it);
    };
    add_instance(table.self());
    for (const auto& it : table.members())
        add_instance(it);
    std::vector<data_centre_instances> data_centres;
    data_centres.reserve(by_distance.size());
    for (auto& [key, it] : by_distance)
        data_centres.push_back(std::move(it));
    return data_centres;
}

void rotate_instances(
    std::vector<data_centre_instances>& data_centres, std::uint64_t rotation)
{
    for (auto& it : data_centres)
    {
        auto& instances = it.instances;
        std::sort(
            instances.begin(), instances.end(),
            [](const member& a, const member& b) {
                return std::pair(a.index, a.nonce) <
                       std::pair(b.index, b.nonce);
            });
        auto shift = static_cast<std::ptrdiff_t>(rotation % instances.size());
        std::rotate(
            instances.begin(), instances.begin() + shift, instances.end());
    }
}

/** Chooses one instance of each data centre in turn until no places are free,
    so that a caller whose nearest data centres fail knows instances in others.
    Returns the number of places that are still free. */
std::size_t choose_in_turn(
    std::span<data_centre_instances> data_centres, std::size_t free_places)
{
    for (bool has_chosen = true; has_chosen && free_places > 0;)
    {
        has_chosen = false;
        for (auto& it : data_centres)
        {
            if (free_places == 0 || it.chosen_count == it.instances.size())
                continue;
            ++it.chosen_count;
            --free_places;
            has_chosen = true;
        }
    }
    return free_places;
}

} // namespace

instance_answer make_instance_answer(
    const membership_table& table,
    std::span<const std::string> nearest_data_centres,
    std::uint64_t rotation,
    const instance_answer_limits& limits)
{
    auto data_centres = group_by_data_centre(table, nearest_data_centres);
    rotate_instances(data_centres, rotation);
    instance_answer answer;
    answer.lifetime = limits.lifetime;
    if (data_centres.empty())
        return answer;
    // A quarter of the places is kept for other data centres, if there are any.
    auto nearest_places = data_centres.size() > 1
                              ? limits.instances - limits.instances / 4
                              : limits.instances;
    auto& nearest = data_centres.front();
    nearest.chosen_count = std::min(nearest.instances.size(), nearest_places);
    auto other_data_centres = std::span(data_centres).subspan(1);
    auto free_places = choose_in_turn(
        other_data_centres, limits.instances - nearest.chosen_count);
    nearest.chosen_count =
        std::min(nearest.instances.size(), nearest.chosen_count + free_places);
    for (const auto& it : data_centres)
        answer.instances.insert(
            answer.instances.end(), it.instances.begin(),
            it.instances.begin() +
                static_cast<std::ptrdiff_t>(it.chosen_count));
    return answer;
}

} // namespace turmericlane
