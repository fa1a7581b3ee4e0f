#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <array>
#include <string>
#include <string_view>

namespace turmericlane::bench
{

/** Number of data centres in each deployment. */
inline constexpr std::uint32_t data_centre_count = 4;

/** Number of running instances; the bundle allows one more. */
inline constexpr std::uint32_t instance_count = 8;

/** Maximum number of groups in one service. The groups of a query must fit
    a mask of 64 bits. */
inline constexpr std::uint32_t max_partitions = 16;

/** Median of the lognormal service times. */
inline constexpr duration service_time_median = std::chrono::milliseconds(4);

/** Standard deviation of the logarithm of the service times. */
inline constexpr double service_time_sigma = 0.5;

/** Describes the sizes and delays of one user's installation (section 1.6 of
    the design).

    @see make_deployment
*/
struct deployment
{
    std::string name;
    bundle initial_bundle;
    /** One-way delay between a caller and an instance. */
    duration client_delay{};
    /** Queries per second of each rank under steady load. */
    std::array<double, rank_count> query_rates{};
    /** Rate of queries to all services, per second, that would use every slot
        of the busiest service. */
    double archive_capacity = 0.0;
    /** Rate of urgent queries, per second, that would use every slot of the
        busiest replicated service. */
    double urgent_capacity = 0.0;
    /** Id of the service with the fewest slots per group. */
    std::uint32_t busiest_service = 0;
    /** Id of the replicated service with the fewest slots per group. */
    std::uint32_t busiest_replicated_service = 0;
};

/** Returns the deployment of a name, which must be `jamaica` or `norte`. */
deployment make_deployment(std::string_view name);

/** Returns the ids of the services that a query of a rank searches: the two
    replicated ones for urgent queries, all four for the others. */
std::vector<std::uint32_t> services_for_rank(rank query_rank);

/** Returns the mean time in seconds for which a sub-request uses a slot. */
double mean_service_time_seconds() noexcept;

/** Returns the next version, in which one replica of every third group is
    marked as leaving. */
bundle make_leaving_version(const bundle& configuration);

/** Returns the next version, in which one service with replicas and one
    without have an additional group and the next epoch. */
bundle make_repartitioned_version(const bundle& configuration);

/** Returns the index of the data centre of a searcher. */
std::uint32_t data_centre_index(const searcher& server);

/** True for the one replica of every third group of the replicated services
    that the scenarios let fail. */
bool is_faulty_replica(const group& searcher_group, const searcher& replica);

/** Returns the position of a group in the 64-bit mask of a query's groups. */
constexpr std::uint32_t group_bit(group_id id) noexcept
{
    return id.service * max_partitions + id.partition;
}

} // namespace turmericlane::bench
