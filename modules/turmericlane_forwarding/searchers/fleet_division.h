#pragma once

#include <cstdint>

namespace turmericlane
{

/** Division of the limits that all instances share: the connections to a
    searcher, and the slack of the extra attempts.

    Instances named to callers do nearly all of the work and get most of it. The
    others keep a reserve, because callers with an older answer still use them.

    @see share_connections, extra_attempt_budget
*/
struct fleet_division
{
    /** Live instances, this one included; at least 1. */
    std::uint32_t instances = 1;
    /** Of these, the instances whose addresses are given to callers; at
        least 1. */
    std::uint32_t named_instances = 1;
    /** True if this instance is one of the named ones. */
    bool is_self_named = true;

    friend bool
    operator==(const fleet_division&, const fleet_division&) = default;
};

/** Returns the share of the whole for all instances that are not named
    together; zero if all are named. */
double unnamed_share(const fleet_division& fleet) noexcept;

/** Returns this instance's share of the whole, above 0 and at most 1. */
double own_share(const fleet_division& fleet) noexcept;

} // namespace turmericlane
