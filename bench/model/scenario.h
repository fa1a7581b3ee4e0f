#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <optional>
#include <string>
#include <vector>

namespace turmericlane::bench
{

/** What goes wrong in a run, and when. Times count from the start of the run;
    failures without a time last for the whole run.

    @see bench_run
*/
struct scenario
{
    std::string name;
    duration length{};
    /** Share of the replies that are 20 times slower. */
    double straggler_share = 0.0;
    /** The marked replicas are 10 times slower. */
    bool slow_replica = false;
    /** Load reports state one minus the load. */
    bool inverted_load = false;
    /** Rate of archive queries as a multiple of what the fleet can take. */
    double archive_flood = 0.0;
    /** The same for urgent queries. */
    double urgent_flood = 0.0;
    /** The marked replicas refuse connections from here on. */
    std::optional<duration> replica_loss;
    /** All searchers restart one after another. */
    std::optional<duration> restarts;
    /** Searchers move to the next snapshot, or the next epochs, one after
        another within roll_spread; each serves both for roll_hold. */
    std::optional<duration> snapshot_roll;
    std::optional<duration> repartition;
    duration roll_spread = std::chrono::seconds(2);
    duration roll_hold = std::chrono::seconds(3);
    std::optional<duration> leaving;
    /** One instance stops for pause_length. */
    std::optional<duration> pause;
    duration pause_length = std::chrono::seconds(5);
    /** The data centres are split into two halves for split_length. */
    std::optional<duration> split;
    duration split_length = std::chrono::seconds(30);
    /** Time until peers notice that an instance is silent. */
    duration detection_time = std::chrono::seconds(1);
    /** New versions are made but reach no instance. */
    bool configuration_down = false;
};

/** Names of the scenarios in the order of the output. */
std::vector<std::string> scenario_names();

/** Returns a scenario by name, or nothing for an unknown name.
    @param quick  shorter runs */
std::optional<scenario> find_scenario(std::string_view name, bool quick);

/** A short scenario of several failures that meet, drawn from a seed. */
scenario random_scenario(std::uint64_t seed);

} // namespace turmericlane::bench
