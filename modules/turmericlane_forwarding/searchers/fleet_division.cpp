#include "fleet_division.h"

#include <cassert>

namespace turmericlane
{

namespace
{

/** What instances that are not named need while callers move away from
    them. */
constexpr double reserved_part = 0.25;

} // namespace

double unnamed_part(const fleet_division& of) noexcept
{
    return of.named < of.instances ? reserved_part : 0.0;
}

double own_part(const fleet_division& of) noexcept
{
    assert(of.named > 0 && of.named <= of.instances);
    const auto reserved = unnamed_part(of);
    if (of.self_named)
        return (1.0 - reserved) / of.named;
    return reserved / (of.instances - of.named);
}

} // namespace turmericlane
