#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <array>
#include <string>
#include <string_view>

namespace turmericlane::bench
{

/** Number of data centres of both deployments. */
inline constexpr std::uint32_t data_centre_count = 4;

/** Instances that run; the bundle allows one more. */
inline constexpr std::uint32_t instance_count = 8;

/** Groups of one service at most, so that a query's groups fit 64 bits. */
inline constexpr std::uint32_t max_partitions = 16;

/** Median of the service times. */
inline constexpr duration service_median = std::chrono::milliseconds(4);

/** Sigma of the lognormal service times. */
inline constexpr double service_sigma = 0.5;

/** Sizes and delays of one user's installation (section 1.6 of the design).

    @see make_deployment
*/
struct deployment
{
    std::string name;
    bundle first;
    /** One-way delay between a caller and an instance. */
    duration client_delay{};
    /** Queries a second of each rank in steady load. */
    std::array<double, rank_count> rates{};
    /** Queries a second that touch all services and would use every slot of
        the busiest service. */
    double archive_capacity = 0.0;
    /** Urgent queries a second that would use every slot of the busiest
        grouped service. */
    double urgent_capacity = 0.0;
    /** The service with the fewest slots for each group, and among the grouped
        services the same. */
    std::uint32_t busiest = 0;
    std::uint32_t busiest_grouped = 0;
};

/** Returns the deployment `jamaica` or `norte`; the name must be one of
    these. */
deployment make_deployment(std::string_view name);

/** Services that a query of a rank touches: urgent queries the two grouped
    ones, the others all four. */
std::vector<std::uint32_t> services_of(rank work);

/** Mean time in seconds that a sub-request holds a slot. */
double mean_service_seconds() noexcept;

/** The next version, in which one replica of each third group leaves. */
bundle with_leaving(const bundle& of);

/** The next version, in which one grouped and one single service have one
    group more and the next epoch. */
bundle with_new_partitions(const bundle& of);

/** Index of a data centre from its name. */
std::uint32_t data_centre_of(const searcher& of);

/** True for the one replica of each third group of the grouped services that
    the scenarios let fail. */
bool is_marked(const group& in, const searcher& one);

/** Position of a group among the 64 bits of a query's groups. */
constexpr std::uint32_t bit_of(group_id id) noexcept
{
    return id.service * max_partitions + id.partition;
}

} // namespace turmericlane::bench
