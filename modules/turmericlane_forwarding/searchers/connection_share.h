#pragma once

#include "fleet_division.h"
#include "searcher.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace turmericlane
{

/** How this instance connects to the replicas of a service. */
struct connection_share
{
    /** Connections to each replica that it may use at once; at least 1. */
    std::uint32_t max_in_flight = 1;
    /** Of these, the ones that it keeps while they are idle; 0 if it opens one
        for each request. */
    std::uint32_t max_idle = 1;
    /** Replicas that it uses on average; some instances use one more than
        others. */
    double mean_replicas = 1.0;
};

/** Divides the connections that searchers accept among the instances, so that
    all together stay within each searcher's limit.

    Idle connections use half of the limit: those of instances that have lost
    power count at the searcher until they time out, and their successors need
    connections at once. With more instances than that, each uses some of the
    replicas, and at least one.

    An instance that is not named to callers keeps none.

    @param limit     connections that a searcher accepts from all callers
    @param fleet     how the instances divide them
    @param replicas  replicas of the service */
connection_share share_connections(
    std::uint32_t limit,
    const fleet_division& fleet,
    std::size_t replica_count);

/** Which instance plans its connections. */
struct connection_owner
{
    /** Unique in the fleet. */
    std::string_view name;
    std::string_view data_centre;
};

/** Applies a share to the replicas of a service: sets their windows, and how
    many connections this instance keeps. It prefers replicas in its own data
    centre; rendezvous hashing spreads the instances evenly over the others,
    whatever their views of each other. */
void plan_connections(
    std::span<const std::shared_ptr<searcher>> replicas,
    const connection_share& share,
    const connection_owner& owner);

} // namespace turmericlane
