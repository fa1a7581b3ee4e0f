#include "scenario.h"

#include "../driver/draw.h"

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

void set_failures(scenario& target, bool is_quick)
{
    const auto& name = target.name;
    if (name == "straggler")
        target.straggler_share = 0.01;
    if (name == "slow_replica")
        target.has_slow_replicas = true;
    if (name == "replica_loss")
        target.replica_loss_start = seconds(2);
    if (name == "misleading_load")
        target.has_inverted_load = true;
    if (name == "cold_start")
        target.restart_start = seconds(2);
    if (name == "flood_archive" || name == "flood_urgent")
        target.archive_flood_factor = 10.0;
    if (name == "flood_urgent")
        target.urgent_flood_factor = 3.0;
    if (name == "snapshot_roll")
        target.snapshot_roll_start = milliseconds(1500);
    if (name == "repartition")
        target.repartition_start = milliseconds(2000);
    if (name == "leaving" || name == "config_down")
        target.leaving_start = milliseconds(1500);
    if (name == "pause")
        target.pause_start = seconds(2);
    if (name == "partition")
        target.split_start = seconds(2);
    target.is_configuration_down = name == "config_down";
    if (is_quick)
        target.split_length = seconds(3);
}

void set_length(scenario& target, bool is_quick)
{
    target.length = is_quick ? seconds(5) : seconds(20);
    // The bounds on the 99th percentile need a few hundred queries per rank.
    if (target.name == "steady" || target.straggler_share > 0.0 ||
        target.has_slow_replicas)
        target.length = std::max<duration>(target.length, seconds(12));
    if (target.archive_flood_factor > 0.0)
        target.length = is_quick ? seconds(4) : seconds(10);
    if (target.snapshot_roll_start || target.repartition_start ||
        target.leaving_start)
        target.length = std::max<duration>(target.length, seconds(8));
    if (target.pause_start)
        target.length = std::max<duration>(
            target.length,
            *target.pause_start + target.pause_length + seconds(2));
    if (target.split_start)
        target.length = std::max<duration>(
            target.length,
            *target.split_start + target.split_length + seconds(2));
}

} // namespace

std::vector<std::string> scenario_names()
{
    return {"steady",          "straggler",   "slow_replica",  "replica_loss",
            "misleading_load", "cold_start",  "flood_archive", "flood_urgent",
            "snapshot_roll",   "repartition", "leaving",       "pause",
            "partition",       "config_down"};
}

std::optional<scenario> find_scenario(std::string_view name, bool is_quick)
{
    auto names = scenario_names();
    if (std::find(names.begin(), names.end(), name) == names.end())
        return std::nullopt;
    scenario result;
    result.name = name;
    set_failures(result, is_quick);
    set_length(result, is_quick);
    return result;
}

scenario random_scenario(std::uint64_t seed)
{
    std::uint64_t draw_count = 0;
    auto draw = [&] {
        return uniform_from_hash(hash_values({seed, ++draw_count}));
    };
    auto is_chosen = [&] { return draw() < 0.4; };
    // All failures start within 400 ms, so that several overlap.
    auto draw_start = [&]
    { return milliseconds(100 + static_cast<int>(draw() * 400)); };
    scenario result;
    result.name = "soak";
    result.length = milliseconds(1100);
    result.pause_length = milliseconds(400);
    result.split_length = milliseconds(400);
    result.detection_time = milliseconds(150);
    result.roll_start_spread = milliseconds(200);
    result.roll_overlap = milliseconds(300);
    result.straggler_share = is_chosen() ? 0.02 : 0.0;
    result.has_slow_replicas = is_chosen();
    result.has_inverted_load = is_chosen();
    result.archive_flood_factor = draw() < 0.1 ? 2.0 : 0.0;
    result.urgent_flood_factor = draw() < 0.1 ? 1.5 : 0.0;
    for (auto* failure_start :
         {&result.replica_loss_start, &result.restart_start,
          &result.snapshot_roll_start, &result.repartition_start,
          &result.leaving_start, &result.pause_start, &result.split_start})
        if (is_chosen())
            *failure_start = draw_start();
    result.is_configuration_down = draw() < 0.1;
    return result;
}

} // namespace turmericlane::bench
