#pragma once

#include "../messages/search_messages.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <span>
#include <unordered_map>

namespace turmericlane
{

/** The range of snapshots that each group was last heard to serve.

    @see search_coordinator
*/
class snapshot_view
{
public:
    /** A reply of a group stated its range; an unknown range is ignored. */
    void on_range(group_id id, snapshot_range served);

    /** Newest snapshot that all groups of some services with a known range
        serve; 0 if no range is known. When no snapshot is common, the oldest
        one that the groups that are furthest ahead still serve: the others
        are expected to follow. */
    std::uint64_t pin(std::span<const service_map* const> services) const;

private:
    std::unordered_map<std::uint32_t, std::vector<snapshot_range>> ranges_;
};

} // namespace turmericlane
