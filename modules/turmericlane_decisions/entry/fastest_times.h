#pragma once

#include "../messages/search_messages.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <span>
#include <unordered_map>

namespace turmericlane
{

/** The fastest recent answer of each group, as the entry measured it.

    It shows which groups can't answer within a deadline. Times are forgotten
    after 5 to 10 s, so that a group that was slow is tried again.

    @see search_coordinator
*/
class fastest_times
{
public:
    /** A group answered after that time. */
    void on_answer(group_id id, duration took, time_point now);

    /** Share of the groups of some services that are not known to need longer
        than the time left, 0 to 1. */
    double reachable(
        std::span<const service_map* const> services,
        duration time_left,
        time_point now) const;

private:
    struct window
    {
        time_point started{};
        duration current = duration::max();
        duration previous = duration::max();
    };

    static duration fastest(const window& of, time_point now);

    std::unordered_map<std::uint32_t, std::vector<window>> windows_;
};

} // namespace turmericlane
