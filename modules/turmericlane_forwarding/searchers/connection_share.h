#pragma once

#include "fleet_division.h"
#include "searcher.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace turmericlane
{

/** This instance's share of the connections to the replicas of a service. */
struct connection_share
{
    /** Connections to each replica that it may use at the same time; at
        least 1. */
    std::uint32_t max_in_flight = 1;
    /** Of these, the connections that it keeps open while idle; 0 if it opens
        one for each request. */
    std::uint32_t max_idle = 1;
    /** Replicas to which it keeps idle connections, on average over all
        instances; a fraction means that only some instances use one more. */
    double mean_replicas = 1.0;
};

/** Divides the connections that searchers accept among the instances, so that
    all of them together stay within each searcher's limit.

    Idle connections use at most half of the limit. A searcher counts the
    connections of an instance that lost power until they time out, and the
    instances that take over need connections at once. If half of the limit is
    less than one connection for each instance, each instance keeps connections
    to some of the replicas, and to at least one.

    An instance that is not named to callers keeps no idle connections.

    @param limit          connections that a searcher accepts from all
                          instances together
    @param fleet          number of instances that share them
    @param replica_count  replicas of the service */
connection_share share_connections(
    std::uint32_t limit,
    const fleet_division& fleet,
    std::size_t replica_count);

/** Identifies the instance that plans its connections. */
struct connection_owner
{
    /** Unique among all instances. */
    std::string_view name;
    std::string_view data_centre;
};

/** Applies a share to the replicas of a service: sets their limits of requests
    in flight and of idle connections.

    Idle connections go to replicas in the instance's own data centre first.
    Rendezvous hashing spreads the instances evenly over the others, even while
    their views of each other differ. */
void plan_connections(
    std::span<const std::shared_ptr<searcher>> replicas,
    const connection_share& share,
    const connection_owner& owner);

} // namespace turmericlane
