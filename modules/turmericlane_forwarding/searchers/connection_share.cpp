#include "connection_share.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Instances that may run without being known yet: some join or restart while
    the views differ. */
constexpr std::uint32_t unknown_instances = 1;

/** More connections than this do not shorten the wait for a slot. */
constexpr std::uint32_t max_share = 8;

} // namespace

std::uint32_t
connection_share(std::uint32_t limit, std::uint32_t instances) noexcept
{
    const auto share = limit / (instances + unknown_instances);
    return std::clamp(share, 1U, max_share);
}

} // namespace turmericlane
