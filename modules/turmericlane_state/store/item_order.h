#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericlane
{

/** How long a value from before the store's return from an older copy outlasts
    the value in that copy. */
enum class item_retention : std::uint8_t
{
    /** The copy's value replaces it at once. */
    none,
    /** Until its writer has had time to write it again. */
    temporary,
    /** Until the store holds this value or a newer one. */
    lasting
};

/** Interface to compare values whose content is opaque to the state module,
    implemented by an adapter. */
class item_order
{
public:
    virtual ~item_order() = default;

    /** Compares the value of an item with the one in the store's copy.
        @param held_value    value from before the store's return
        @param listed_value  value in the copy; std::nullopt if the copy does
                             not hold the item
        @returns item_retention::none unless the held value is provably newer */
    virtual item_retention retention(
        std::string_view key,
        std::string_view held_value,
        std::optional<std::string_view> listed_value) const = 0;
};

} // namespace turmericlane
