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
    /** IP number. */
    std::string address;
    std::uint16_t port = 0;
    std::string data_centre;
    /** The server is to receive no new work. */
    bool leaving = false;
};

/** The replicas of one partition. */
struct group
{
    std::uint32_t partition = 0;
    std::vector<searcher> searchers;
};

/** A named data set with its partition map and the limits of its servers. */
struct service_map
{
    std::uint32_t id = 0;
    std::string name;
    /** Version of the partition map. */
    std::uint64_t epoch = 0;
    /** Requests that a searcher runs at the same time. */
    std::uint32_t slots = 1;
    /** Connections that a searcher accepts in total. */
    std::uint32_t connection_limit = 1;
    std::chrono::microseconds connect_cost{0};
    /** Whether bookings may go to this service. */
    bool bookable = false;
    /** Partitions in order, from 0. */
    std::vector<group> groups;
};

/** Treatment of one rank of work. */
struct rank_policy
{
    std::chrono::milliseconds target{140};
    /** Deadline of requests that state none. */
    std::chrono::milliseconds default_deadline{140};
    /** Relative value of one answer; breaks ties in what is shed first. */
    double worth = 1.0;
    /** Guaranteed share of the slots under overload, 0 to 1. */
    double min_share = 0.0;
};

/** Settings of the search policy. The two users weigh tail latency and
    coverage differently. */
struct search_policy
{
    /** Sub-requests that hedges may add, as a share of first attempts. */
    double hedge_budget = 0.02;
    /** Sub-requests that retries may add, as a share of first attempts. */
    double retry_budget = 0.1;
    /** Percentile of the group's latency after which a hedge is sent. */
    double hedge_percentile = 0.98;
    /** Coverage below which a query whose deadline is reached is answered
        with a refusal in place of a partial answer, 0 to 1. */
    double min_coverage = 0.0;
};

/** One version of what the operators signed.

    A query holds the bundle that it was admitted under by shared ownership, so
    that a new version never changes the partition map of a running query.

    @see parse_bundle
*/
struct bundle
{
    std::uint64_t version = 0;
    /** Upper bound on the ordinals of instances. */
    std::uint32_t max_instances = 1;
    /** Candidate owners of each group (K in the design). */
    std::uint32_t owner_candidates = 3;
    /** One-way delay between data centres. */
    std::chrono::microseconds data_centre_delay{1000};
    /** Data centres of the ordinals in turn: ordinal n stands in the one at n
        modulo the size. Empty: not stated. A wrong one costs delay only. */
    std::vector<std::string> ordinal_data_centres;
    std::array<rank_policy, rank_count> ranks;
    search_policy policy;
    std::vector<service_map> services;

    /** Returns the service of that name, or null. */
    const service_map* find_service(std::string_view name) const noexcept;

    /** Returns the service with that id, or null. */
    const service_map* find_service(std::uint32_t id) const noexcept;

    /** Returns the group, or null. */
    const group* find_group(group_id id) const noexcept;

    /** Connections that one candidate owner may open to each searcher of a
        service: the limit divided by twice the number of candidates, so that
        a paused instance that wakes beside its replacement, or instances on
        adjacent versions, stay within the limit together. */
    std::uint32_t connection_share(const service_map& of) const noexcept;
};

} // namespace turmericlane
