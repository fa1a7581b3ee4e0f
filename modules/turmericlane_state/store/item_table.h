#pragma once

#include "store_item.h"

#include <deque>
#include <map>
#include <span>

namespace turmericlane
{

/** A copy of the store's items. The newest revision of an item wins, so that
    items may arrive from several sources and in any order.

    Decision code; one thread uses it.

    @see store_follower
*/
class item_table
{
public:
    /** Takes an item.
        @returns true if it is newer than the one known */
    bool apply(const store_item& item);

    /** Takes a complete listing.
        @param revision  revision at which it was complete: items that it lacks
                         and that are not newer are removed
        @returns the items that have changed, removed ones included */
    std::vector<store_item>
    apply_complete(std::span<const store_item> items, std::uint64_t revision);

    /** Items changed after a revision.
        @returns nothing if removals since then have been forgotten */
    std::optional<std::vector<store_item>> since(std::uint64_t revision) const;

    /** Items that exist. */
    std::vector<store_item> existing() const;

private:
    void note_removal(const std::string& key);

    std::map<std::string, store_item> items_;
    /** Keys of removed items, oldest first; some are written again. */
    std::deque<std::string> removed_;
    /** Removals up to this revision may have been forgotten. */
    std::uint64_t forgotten_ = 0;
};

} // namespace turmericlane
