#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace turmericlane
{

/** Whether the requests of a route may be executed more than once. */
enum class execution_semantics : std::uint8_t
{
    idempotent,
    at_most_once
};

/** A service and the share of a route's requests that it receives. */
struct weighted_service
{
    std::string service;
    /** Relative to the other services of the route; at least 0. */
    double weight = 1.0;
};

/** How the requests of one host and path prefix are handled. */
struct route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    execution_semantics semantics = execution_semantics::idempotent;
    /** A request is given up after this time. */
    duration timeout{};
    /** An answer within this time is in time. */
    duration target_latency{};
    /** 0 is the most urgent. */
    std::uint32_t rank = 0;
    /** Searchers on which one request, or one of its sub-requests, may be
        executed. */
    std::uint32_t max_attempts = 1;
    /** Services among which the requests are split; empty if the route has
        shards. */
    std::vector<weighted_service> services;
    /** Services of which each answers one sub-request; empty if requests are
        not gathered. */
    std::vector<std::string> shards;
    /** Records in a merged answer, at most. */
    std::size_t top_count = 0;
    /** Share of the shards whose answers a merged answer must include, 0 to
        1. */
    double min_coverage = 1.0;
    /** Regions in which requests may be served; empty for all. */
    std::vector<std::string> home_regions;

    /** True if an answer is merged from the answers of several shards. */
    bool is_gathered() const noexcept
    {
        return !shards.empty();
    }
};

/** Configuration of a service. */
struct service_settings
{
    std::string name;
    /** Connections that one searcher of the service accepts from all instances
        together. */
    std::uint32_t max_connections = 1;
    /** Time for which a searcher is cold after its start. */
    duration warm_up_time{};
    /** Requests in a second that a cold searcher can handle from all instances
        together; 0 for no bound. */
    double warm_up_rate = 0.0;
};

/** Limits on the requests and connections of callers. */
struct caller_limits
{
    std::uint32_t header_bytes = 16'384;
    std::uint64_t body_bytes = 262'144;
    /** From the first byte of a request to the end of its header. */
    duration header_timeout = std::chrono::seconds(3);
    /** A connection that is idle for longer is closed. */
    duration idle_timeout = std::chrono::seconds(15);
};

/** One version of the routes, services and limits that operators
    configure. */
struct route_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_settings> services;
    caller_limits limits;
};

} // namespace turmericlane
