#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace turmericlane
{

/** Whether a request may be executed more than once. */
enum class execution_semantics : std::uint8_t
{
    idempotent,
    at_most_once
};

/** A service and its part of a route's requests. */
struct weighted_service
{
    std::string service;
    /** Relative to the other services of the route; not negative. */
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
    /** Longest time that a caller waits. */
    duration timeout{};
    /** Time within which an answer is in time. */
    duration target_latency{};
    /** Rank of the work; 0 is the most urgent. */
    std::uint32_t rank = 0;
    /** Searchers on which one request, or one part of it, may be executed. */
    std::uint32_t max_attempts = 1;
    /** Services that share the requests; empty if the route has shards. */
    std::vector<weighted_service> services;
    /** Services that each hold a part of the answer. */
    std::vector<std::string> shards;
    /** Records in a merged answer. */
    std::size_t top_count = 0;
    /** Share of the shards that an answer must include, 0 to 1. */
    double min_coverage = 1.0;

    /** True if an answer is merged from one part of each shard. */
    bool is_gathered() const noexcept
    {
        return !shards.empty();
    }
};

/** What is configured about a service. */
struct service_settings
{
    std::string name;
    /** Connections that a searcher accepts from all callers together. */
    std::uint32_t max_connections = 1;
};

/** Bounds on what callers may send. */
struct caller_limits
{
    std::uint32_t header_bytes = 16'384;
    std::uint64_t body_bytes = 262'144;
    /** From the first byte of a request to the end of its header. */
    duration header_timeout = std::chrono::seconds(3);
    /** How long a connection may be idle. */
    duration idle_timeout = std::chrono::seconds(15);
};

/** One version of everything that operators configure. */
struct route_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_settings> services;
    caller_limits limits;
};

} // namespace turmericlane
