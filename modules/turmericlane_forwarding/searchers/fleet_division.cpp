#include "fleet_division.h"

#include <cassert>

namespace turmericlane
{

namespace
{

/** Share that instances not named to callers need together, while callers with
    an older answer still use them. */
constexpr double unnamed_reserve = 0.25;

} // namespace

double unnamed_share(const fleet_division& fleet) noexcept
{
    return fleet.named_instances < fleet.instances ? unnamed_reserve : 0.0;
}

double own_share(const fleet_division& fleet) noexcept
{
    assert(
        fleet.named_instances > 0 && fleet.named_instances <= fleet.instances);
    const auto reserve = unnamed_share(fleet);
    if (fleet.is_self_named)
        return (1.0 - reserve) / fleet.named_instances;
    return reserve / (fleet.instances - fleet.named_instances);
}

} // namespace turmericlane
