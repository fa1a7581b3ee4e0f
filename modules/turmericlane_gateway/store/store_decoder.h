#pragma once

#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_state/turmericlane_state.h>

#include <optional>
#include <string>
#include <variant>

namespace turmericlane
{

/** A searcher's entry is gone, or names no searcher to use. */
struct searcher_removal
{
    std::string id;
};

/** What an item of the store means. */
using store_change =
    std::variant<route_configuration, searcher_entry, searcher_removal>;

/** Decodes the items of a platform's store; implemented by an adapter.

    @see gateway
*/
class store_decoder
{
public:
    virtual ~store_decoder() = default;

    /** Decodes an item.
        @returns nothing if it concerns neither configuration nor searchers, or
                 cannot be used */
    virtual std::optional<store_change> decode(const store_item& item) = 0;
};

} // namespace turmericlane
