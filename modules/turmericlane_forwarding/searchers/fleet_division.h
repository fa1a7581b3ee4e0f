#pragma once

#include <cstdint>

namespace turmericlane
{

/** How the instances divide what all of them may use together: connections to
    a searcher, and repeats beyond the ratio.

    Named instances do nearly all of the work and get most; the others keep a
    part, because callers with an older answer still use them.

    @see share_connections, repeat_budget
*/
struct fleet_division
{
    /** Live instances, this one included; at least 1. */
    std::uint32_t instances = 1;
    /** Of these, the ones that are named to callers; at least 1. */
    std::uint32_t named_instances = 1;
    /** True if this instance is a named one. */
    bool is_self_named = true;

    friend bool
    operator==(const fleet_division&, const fleet_division&) = default;
};

/** Part that the instances which are not named divide among themselves; zero
    if all are named. */
double unnamed_share(const fleet_division& fleet) noexcept;

/** This instance's part of the whole, above 0 and at most 1. */
double own_share(const fleet_division& fleet) noexcept;

} // namespace turmericlane
