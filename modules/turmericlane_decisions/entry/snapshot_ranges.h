#pragma once

#include "../messages/search_messages.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <span>
#include <unordered_map>

namespace turmericlane
{

/** The range of snapshots that each group serves, from its last reply.

    @see search_coordinator
*/
class snapshot_ranges
{
public:
    /** Records the range that a reply of a group states; an unknown range is
        ignored. */
    void on_range(group_id id, snapshot_range range);

    /** Returns the newest snapshot that all groups of some services with a
        known range serve; 0 if no range is known. If no snapshot is common to
        them, returns the oldest one that the most advanced groups still serve:
        the others are expected to catch up. */
    std::uint64_t
    choose_snapshot(std::span<const service_map* const> services) const;

private:
    std::unordered_map<std::uint32_t, std::vector<snapshot_range>> ranges_;
};

} // namespace turmericlane
