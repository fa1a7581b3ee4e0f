#pragma once

#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_state/turmericlane_state.h>

#include <optional>
#include <string>
#include <variant>

namespace turmericlane
{

/** States that a searcher's entry was removed, or cannot be used. */
struct searcher_removal
{
    std::string id;
};

/** An operator's order to evacuate a data centre, or its end. */
struct evacuation_order
{
    std::string data_centre;
    /** False if the evacuation has ended. */
    bool is_active = true;
};

/** The decoded content of an item of the store. */
using store_change = std::variant<
    route_configuration,
    searcher_entry,
    searcher_removal,
    evacuation_order>;

/** Decodes the items of a platform's store; an adapter implements it.

    @see gateway
*/
class store_decoder
{
public:
    virtual ~store_decoder() = default;

    /** Decodes an item.
        @returns nothing if the item has no meaning for a gateway, or cannot be
                 used */
    virtual std::optional<store_change> decode(const store_item& item) = 0;
};

} // namespace turmericlane
