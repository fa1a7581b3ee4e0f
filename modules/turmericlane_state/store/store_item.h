#pragma once

#include "store_position.h"

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericlane
{

/** An item of the platform's store as it was last written or removed. The value
    is opaque to this module; an adapter decodes it. */
struct store_item
{
    std::string key;
    /** Revision of the store at which the item was written or removed. */
    std::uint64_t revision = 0;
    /** Value of the item; std::nullopt if it was removed. */
    std::optional<std::string> value;

    friend bool operator==(const store_item&, const store_item&) = default;
};

/** Message with items of the store from one instance to another. */
struct feed_message
{
    /** Era of both revisions; std::nullopt from an instance of a build that
        states none. */
    std::optional<store_era> era;
    /** The message holds all changes after this revision. */
    std::uint64_t base_revision = 0;
    /** Last revision that the message covers. */
    std::uint64_t last_revision = 0;
    /** True if the message holds all items that exist at last_revision; all
        other items are removed. */
    bool is_complete = false;
    /** Time since the store confirmed that last_revision was its newest. */
    duration age{};
    /** Remaining time in which items whose removal is reported may be written
        again, after an outage of the store. */
    duration settling_time_left{};
    std::vector<store_item> items;
    /** In a complete message: items from before the store's return from an
        older copy that outlast those of the copy, see item_retention. */
    std::vector<store_item> retained_items;
    /** Remaining time for which retained_items outlast an older value in the
        copy. */
    duration retention_time_left{};

    friend bool operator==(const feed_message&, const feed_message&) = default;
};

} // namespace turmericlane
