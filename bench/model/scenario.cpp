#include "scenario.h"

#include "../driver/draw.h"

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

void set_failures(scenario& of, bool quick)
{
    const auto& name = of.name;
    if (name == "straggler")
        of.straggler_share = 0.01;
    if (name == "slow_replica")
        of.slow_replica = true;
    if (name == "replica_loss")
        of.replica_loss = seconds(2);
    if (name == "misleading_load")
        of.inverted_load = true;
    if (name == "cold_start")
        of.restarts = seconds(2);
    if (name == "flood_archive" || name == "flood_urgent")
        of.archive_flood = 10.0;
    if (name == "flood_urgent")
        of.urgent_flood = 3.0;
    if (name == "snapshot_roll")
        of.snapshot_roll = milliseconds(1500);
    if (name == "repartition")
        of.repartition = milliseconds(2000);
    if (name == "leaving" || name == "config_down")
        of.leaving = milliseconds(1500);
    if (name == "pause")
        of.pause = seconds(2);
    if (name == "partition")
        of.split = seconds(2);
    of.configuration_down = name == "config_down";
    if (quick)
        of.split_length = seconds(3);
}

void set_length(scenario& of, bool quick)
{
    of.length = quick ? seconds(5) : seconds(20);
    // The bounds on the 99th percentile need a few hundred queries a rank.
    if (of.name == "steady" || of.straggler_share > 0.0 || of.slow_replica)
        of.length = std::max<duration>(of.length, seconds(12));
    if (of.archive_flood > 0.0)
        of.length = quick ? seconds(4) : seconds(10);
    if (of.snapshot_roll || of.repartition || of.leaving)
        of.length = std::max<duration>(of.length, seconds(8));
    if (of.pause)
        of.length = std::max<duration>(
            of.length, *of.pause + of.pause_length + seconds(2));
    if (of.split)
        of.length = std::max<duration>(
            of.length, *of.split + of.split_length + seconds(2));
}

} // namespace

std::vector<std::string> scenario_names()
{
    return {"steady",          "straggler",   "slow_replica",  "replica_loss",
            "misleading_load", "cold_start",  "flood_archive", "flood_urgent",
            "snapshot_roll",   "repartition", "leaving",       "pause",
            "partition",       "config_down"};
}

std::optional<scenario> find_scenario(std::string_view name, bool quick)
{
    auto names = scenario_names();
    if (std::find(names.begin(), names.end(), name) == names.end())
        return std::nullopt;
    scenario made;
    made.name = name;
    set_failures(made, quick);
    set_length(made, quick);
    return made;
}

scenario random_scenario(std::uint64_t seed)
{
    std::uint64_t count = 0;
    auto draw = [&] { return uniform(hash_of({seed, ++count})); };
    auto chance = [&] { return draw() < 0.4; };
    // All failures start within 400 ms, so that several meet.
    auto start = [&]
    { return milliseconds(100 + static_cast<int>(draw() * 400)); };
    scenario made;
    made.name = "soak";
    made.length = milliseconds(1100);
    made.pause_length = milliseconds(400);
    made.split_length = milliseconds(400);
    made.detection_time = milliseconds(150);
    made.roll_spread = milliseconds(200);
    made.roll_hold = milliseconds(300);
    made.straggler_share = chance() ? 0.02 : 0.0;
    made.slow_replica = chance();
    made.inverted_load = chance();
    made.archive_flood = draw() < 0.1 ? 2.0 : 0.0;
    made.urgent_flood = draw() < 0.1 ? 1.5 : 0.0;
    for (auto* it :
         {&made.replica_loss, &made.restarts, &made.snapshot_roll,
          &made.repartition, &made.leaving, &made.pause, &made.split})
        if (chance())
            *it = start();
    made.configuration_down = draw() < 0.1;
    return made;
}

} // namespace turmericlane::bench
