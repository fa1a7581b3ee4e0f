#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** A backend server that serves one partition of a service. */
struct searcher
{
    searcher_id id = 0;
    /** IPv4 or IPv6 address as text. */
    std::string address;
    std::uint16_t port = 0;
    std::string data_centre;
    /** True if the server must not receive new requests. */
    bool leaving = false;
};

/** The searchers that serve one partition. */
struct group
{
    std::uint32_t partition = 0;
    std::vector<searcher> searchers;
};

/** A service: its name, its partition map and the limits of its searchers. */
struct service_map
{
    std::uint32_t id = 0;
    std::string name;
    /** Version of the partition map. */
    std::uint64_t epoch = 0;
    /** Number of requests that one searcher runs at the same time. */
    std::uint32_t slots = 1;
    /** Number of connections that one searcher accepts in total. */
    std::uint32_t connection_limit = 1;
    /** Time that a new connection to a searcher takes. */
    std::chrono::microseconds connect_cost{0};
    /** True if bookings may be sent to this service. */
    bool bookable = false;
    /** Groups in the order of their partitions, from 0. */
    std::vector<group> groups;
};

/** Settings of the requests of one rank. */
struct rank_policy
{
    /** Target latency. */
    std::chrono::milliseconds target{140};
    /** Time allowed for requests that state no deadline. */
    std::chrono::milliseconds default_deadline{140};
    /** Relative value of one answer; decides ties over which requests are shed
        first. */
    double worth = 1.0;
    /** Guaranteed share of the slots under overload, 0 to 1. */
    double min_share = 0.0;
};

/** Settings of searches. They differ between users, because some prefer a
    lower tail latency and others a higher coverage. */
struct search_policy
{
    /** Hedges that may be sent, as a share of the first attempts. */
    double hedge_budget = 0.02;
    /** Retries that may be sent, as a share of the first attempts. */
    double retry_budget = 0.1;
    /** Quantile of the group's latency, 0 to 1, after which a hedge is sent. */
    double hedge_percentile = 0.98;
    /** Coverage, 0 to 1, below which a query that reaches its deadline is
        refused instead of answered in part. */
    double min_coverage = 0.0;
};

/** One version of the configuration that the operators sign.

    A query shares the ownership of the bundle under which it was admitted, so
    that a new version never changes the partition map of a running query.

    @see parse_bundle
*/
struct bundle
{
    std::uint64_t version = 0;
    /** Upper bound of the ordinals of instances. */
    std::uint32_t max_instances = 1;
    /** Number of candidate owners of each group (K in the design). */
    std::uint32_t owner_candidates = 3;
    /** One-way delay between data centres. */
    std::chrono::microseconds data_centre_delay{1000};
    /** Data centres by ordinal: the instance with ordinal n is in the data
        centre at index n modulo the size. Empty if not stated. A wrong entry
        only adds delay. */
    std::vector<std::string> ordinal_data_centres;
    std::array<rank_policy, rank_count> ranks;
    search_policy policy;
    std::vector<service_map> services;

    /** Returns the service with a name, or null. */
    const service_map* find_service(std::string_view name) const noexcept;

    /** Returns the service with an id, or null. */
    const service_map* find_service(std::uint32_t id) const noexcept;

    /** Returns the group with an id, or null. */
    const group* find_group(group_id id) const noexcept;

    /** Returns the number of connections that one candidate owner may open to
        each searcher of a service: the connection limit divided by twice the
        number of candidates. The factor of two keeps the total within the
        limit when a paused instance resumes beside its replacement, or when
        instances use adjacent versions. */
    std::uint32_t connection_share(const service_map& service) const noexcept;
};

} // namespace turmericlane
