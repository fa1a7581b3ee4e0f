#pragma once

#include "item_order.h"
#include "store_item.h"

#include <deque>
#include <map>
#include <span>

namespace turmericlane
{

/** A copy of the store's items. Within an era of the store it keeps the newest
    revision of each item, so items may arrive from several sources and in any
    order.

    After the store's return from an older copy, a value from before the return
    may outlast the one in that copy for a time. The table then keeps both, and
    reports the one that is in effect.

    Not thread-safe: only one thread may use a table at a time.

    @see store_follower, item_order
*/
class item_table
{
public:
    /** All items of the store in a new era. */
    struct new_era_listing
    {
        std::span<const store_item> items;
        /** Revision at which the listing was complete. */
        std::uint64_t revision = 0;
        /** Items from before the return that a peer has kept. */
        std::span<const store_item> retained_items;
        /** End of the retention of items that the listing lacks. */
        time_point missing_end{};
        /** End of the retention of other items. */
        time_point older_end{};
    };

    /** @param order  decides which values are retained; must outlive the
                      table */
    explicit item_table(const item_order& order);

    /** Stores an item.
        @returns true if the value in effect has changed */
    bool apply(const store_item& item);

    /** Stores a complete listing of the current era.
        @param revision        revision at which the listing was complete; an
                               item that is missing from it is removed unless
                               it is newer
        @param known_revision  revision up to which this table was complete; 0
                               if it was not
        @returns the items whose value in effect has changed, including the
                 removed ones */
    std::vector<store_item> apply_listing(
        std::span<const store_item> items,
        std::uint64_t revision,
        std::uint64_t known_revision = 0);

    /** Returns true if a listing contradicts this table: the store has lost
        changes.
        @param revision      the table is complete up to here; items that
                             changed later are not compared, since they may be
                             newer than the listing
        @param end_revision  revision at which the last item was listed; if it
                             is the same, no item may be missing */
    bool is_ahead_of(
        std::span<const store_item> items,
        std::uint64_t revision,
        std::uint64_t end_revision) const;

    /** Replaces the items by those of a new era of the store.
        @returns the items whose value in effect has changed, including the
                 removed ones */
    std::vector<store_item>
    start_era(const new_era_listing& listing, time_point now);

    /** Ends the retention of values whose time is over.
        @returns the items whose value in effect has changed */
    std::vector<store_item> end_retention(time_point now);

    /** Lets no retention end before a time. */
    void extend_retention(time_point end);

    /** Returns when end_retention has to be called; time_point::max() for
        never. */
    time_point next_retention_end() const;

    /** Returns the items changed after a revision, or std::nullopt if some
        removals since then are no longer remembered. */
    std::optional<std::vector<store_item>>
    changes_since(std::uint64_t revision) const;

    /** Returns the items that exist in the store. */
    std::vector<store_item> existing_items() const;

    /** Returns the items that outlast those of the store; without a value, an
        item that was removed before the store's return. */
    std::vector<store_item> retained_items() const;

private:
    /** A value from before the store's return. */
    struct retained_value
    {
        /** std::nullopt if the item was removed. */
        std::optional<std::string> value;
        /** time_point::max() until the store holds a newer value. */
        time_point end;
    };

    struct known_value
    {
        /** False if nothing is known about the item. */
        bool is_known = false;
        std::optional<std::string> value;
    };

    known_value value_in_effect(const std::string& key) const;
    std::optional<retained_value> choose_retained_value(
        const std::string& key,
        const known_value& held,
        const store_item* peer_item,
        const std::optional<std::string>& listed_value,
        const new_era_listing& listing) const;
    bool is_outlasted(const store_item& item);
    void record_removal(const std::string& key);

    const item_order& order_;
    std::map<std::string, store_item> items_;
    std::map<std::string, retained_value> retained_values_;
    /** Keys of removed items, oldest first. Some of the items may have been
        written again. */
    std::deque<std::string> removed_keys_;
    /** Removals up to this revision may no longer be remembered. */
    std::uint64_t forgotten_revision_ = 0;
    /** Between these revisions, items may have come and gone that this table
        does not know, because the store was listed. */
    std::uint64_t gap_begin_ = 0;
    std::uint64_t gap_end_ = 0;
};

} // namespace turmericlane
