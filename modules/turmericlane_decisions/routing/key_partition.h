#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <cstdint>
#include <string_view>

namespace turmericlane
{

/** Returns the partition of a service that the key of a booking belongs to, by
    hash. The service must have at least one group. */
std::uint32_t partition_of(const service_map& service, std::string_view key);

} // namespace turmericlane
