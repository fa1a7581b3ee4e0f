#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <optional>
#include <string>
#include <vector>

namespace turmericlane::bench
{

/** Describes the failures and overloads of a run. Start times are relative to
    the start of the run; failures without a start time last for the whole run.

    @see bench_run
*/
struct scenario
{
    std::string name;
    duration length{};
    /** Share of the requests that take 20 times as long. */
    double straggler_share = 0.0;
    /** True if the faulty replicas are 10 times slower.
        @see is_faulty_replica */
    bool has_slow_replicas = false;
    /** True if load reports state one minus the load. */
    bool has_inverted_load = false;
    /** Additional rate of archive queries as a multiple of the capacity. */
    double archive_flood_factor = 0.0;
    /** Additional rate of urgent queries as a multiple of the capacity. */
    double urgent_flood_factor = 0.0;
    /** Time from which the faulty replicas refuse connections. */
    std::optional<duration> replica_loss_start;
    /** Time from which all searchers restart one after another. */
    std::optional<duration> restart_start;
    /** Time from which the searchers load the next snapshot. */
    std::optional<duration> snapshot_roll_start;
    /** Time from which the searchers of the changed services load the next
        epoch. */
    std::optional<duration> repartition_start;
    /** Time within which the searchers, one after another, load a new snapshot
        or epoch. */
    duration roll_start_spread = std::chrono::seconds(2);
    /** Time for which a searcher serves both the old and the new one. */
    duration roll_overlap = std::chrono::seconds(3);
    /** Time from which the faulty replicas leave by a new version. */
    std::optional<duration> leaving_start;
    /** Time at which one instance is paused for pause_length. */
    std::optional<duration> pause_start;
    duration pause_length = std::chrono::seconds(5);
    /** Time at which the network between two halves of the data centres fails
        for split_length. */
    std::optional<duration> split_start;
    duration split_length = std::chrono::seconds(30);
    /** Time after which peers notice that an instance does not respond. */
    duration detection_time = std::chrono::seconds(1);
    /** True if new versions do not reach any instance. */
    bool is_configuration_down = false;
};

/** Returns the names of the scenarios in the order of the output. */
std::vector<std::string> scenario_names();

/** Returns a scenario by name, or nothing if the name is unknown.
    @param is_quick  true for shorter runs */
std::optional<scenario> find_scenario(std::string_view name, bool is_quick);

/** Returns a short scenario with several simultaneous failures, drawn from a
    seed. */
scenario random_scenario(std::uint64_t seed);

} // namespace turmericlane::bench
