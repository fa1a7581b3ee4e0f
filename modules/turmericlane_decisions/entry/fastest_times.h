#pragma once

#include "../messages/search_messages.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <span>
#include <unordered_map>

namespace turmericlane
{

/** Shortest recent response time of each group, as measured at the entry.

    It shows which groups can't answer within a deadline. Times are forgotten
    after 5 to 10 s, so that a group that was slow is tried again.

    @see search_coordinator
*/
class fastest_times
{
public:
    /** Records that a group answered after that time. */
    void on_answer(group_id id, duration response_time, time_point now);

    /** Returns the share of the groups of some services that are not known to
        need longer than the time left, 0 to 1. */
    double reachable_share(
        std::span<const service_map* const> services,
        duration time_left,
        time_point now) const;

private:
    struct window
    {
        time_point start{};
        duration current_fastest = duration::max();
        duration previous_fastest = duration::max();
    };

    static duration fastest_time(const window& group_window, time_point now);

    std::unordered_map<std::uint32_t, std::vector<window>> windows_;
};

} // namespace turmericlane
