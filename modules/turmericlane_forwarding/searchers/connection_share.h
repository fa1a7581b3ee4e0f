#pragma once

#include <cstdint>

namespace turmericlane
{

/** Connections that one instance may hold to a searcher, so that all instances
    together stay within the searcher's limit.

    @param limit      connections that the searcher accepts from all callers
    @param instances  live instances, this one included; at least 1
    @returns at least 1: with more instances than connections, each uses few of
             the searchers (see replica_choice) */
std::uint32_t
connection_share(std::uint32_t limit, std::uint32_t instances) noexcept;

} // namespace turmericlane
