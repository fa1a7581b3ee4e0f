#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericlane
{

/** An item of the platform's store as it was last written or removed. The
    content is opaque here; an adapter decodes it. */
struct store_item
{
    std::string key;
    /** Revision of the store at which it was written or removed. */
    std::uint64_t revision = 0;
    /** Nothing if it was removed. */
    std::optional<std::string> value;

    friend bool operator==(const store_item&, const store_item&) = default;
};

/** Items that one instance passes to another. */
struct feed_message
{
    /** The items are all changes after this revision. */
    std::uint64_t from = 0;
    /** Up to this one. */
    std::uint64_t through = 0;
    /** The items are all that exist at `through`; others are removed. */
    bool complete = false;
    /** Time since the store confirmed that nothing is newer. */
    duration age{};
    /** How long removals may still be undone, because the store has been
        away. */
    duration settling{};
    std::vector<store_item> items;

    friend bool operator==(const feed_message&, const feed_message&) = default;
};

} // namespace turmericlane
