#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace turmericlane
{

/** Span of the store's history in which its revisions only grow. A new era
    begins when the store comes back from an older copy; revisions are then
    given out again. */
struct store_era
{
    /** Number that the store states in its answers; 0 if it states none. */
    std::uint64_t reported = 0;
    /** Number of returns from an older copy that were found in the store's
        answers without a change of the stated number. */
    std::uint32_t inferred = 0;

    friend bool operator==(const store_era&, const store_era&) = default;
    friend std::strong_ordering
    operator<=>(const store_era& left, const store_era& right)
    {
        return std::tie(left.reported, left.inferred) <=>
               std::tie(right.reported, right.inferred);
    }
};

/** Place in the history of the store. A bare revision is comparable only
    within an era. */
struct store_position
{
    store_era era;
    std::uint64_t revision = 0;

    friend bool
    operator==(const store_position&, const store_position&) = default;
    friend std::strong_ordering
    operator<=>(const store_position& left, const store_position& right)
    {
        return std::tie(left.era, left.revision) <=>
               std::tie(right.era, right.revision);
    }
};

} // namespace turmericlane
