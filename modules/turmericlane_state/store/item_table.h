#pragma once

#include "store_item.h"

#include <deque>
#include <map>
#include <span>

namespace turmericlane
{

/** A copy of the store's items. It keeps the newest revision of each item, so
    items may arrive from several sources and in any order.

    Not thread-safe: only one thread may use a table at a time.

    @see store_follower
*/
class item_table
{
public:
    /** Stores an item.
        @returns true if it is newer than the stored one */
    bool apply(const store_item& item);

    /** Stores a complete listing.
        @param revision  revision at which the listing was complete; an item
                         that is missing from it is removed unless it is newer
        @returns the items that have changed, including the removed ones */
    std::vector<store_item>
    apply_listing(std::span<const store_item> items, std::uint64_t revision);

    /** Returns the items changed after a revision, or std::nullopt if some
        removals since then are no longer remembered. */
    std::optional<std::vector<store_item>>
    changes_since(std::uint64_t revision) const;

    /** Returns the items that exist. */
    std::vector<store_item> existing_items() const;

private:
    void record_removal(const std::string& key);

    std::map<std::string, store_item> items_;
    /** Keys of removed items, oldest first. Some of the items may have been
        written again. */
    std::deque<std::string> removed_keys_;
    /** Removals up to this revision may no longer be remembered. */
    std::uint64_t forgotten_revision_ = 0;
};

} // namespace turmericlane
