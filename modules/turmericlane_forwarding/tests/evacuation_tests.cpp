#include "engine_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmericlane;
using namespace std::chrono_literals;
using tests::engine_simulation;

namespace
{

searcher_entry make_entry(
    const std::string& id,
    const std::string& data_centre,
    const std::string& service = "s")
{
    searcher_entry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "10.0.0.1";
    entry.port = 80;
    entry.data_centre = data_centre;
    entry.slots = 3;
    return entry;
}

/** Adds a searcher that takes eight requests at a time. */
void add_searcher(engine_simulation& simulation, const searcher_entry& entry)
{
    simulation.registry.on_entry(entry);
    simulation.registry.for_each([](const auto& it)
                                 { it->set_max_in_flight(8); });
}

/** Returns the ids of the searchers that may get requests, sorted. */
std::vector<std::string>
used_searchers(const engine_simulation& simulation, const std::string& service)
{
    std::vector<std::string> ids;
    for (const auto& it : simulation.registry.service_searchers(service))
        ids.push_back(it->entry().id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::size_t
count_attempts(const engine_simulation& simulation, const std::string& id)
{
    return static_cast<std::size_t>(std::count_if(
        simulation.attempts.begin(), simulation.attempts.end(),
        [&id](const auto& it) { return it.searcher == id; }));
}

} // namespace

// Guards against requests for a data centre that operators have evacuated, and
// against one that stays out of use after the end.
TEST_CASE("an evacuated data centre's searchers are out of use until the end")
{
    engine_simulation simulation;
    auto& registry = simulation.registry;
    add_searcher(simulation, make_entry("a", "north"));
    add_searcher(simulation, make_entry("b", "south"));
    CHECK(registry.on_evacuation("south", true));
    CHECK(used_searchers(simulation, "s") == std::vector<std::string>{"a"});
    CHECK(registry.count_by_data_centre().count("south") == 0);
    SUBCASE("the order is repeated")
    {
        CHECK_FALSE(registry.on_evacuation("south", true));
        CHECK(registry.on_evacuation("south", false));
        CHECK_FALSE(registry.on_evacuation("south", false));
    }
    SUBCASE("a second data centre is evacuated, and the first one returns")
    {
        CHECK(registry.on_evacuation("north", true));
        CHECK(used_searchers(simulation, "s").empty());
        CHECK(registry.on_evacuation("south", false));
        CHECK(used_searchers(simulation, "s") == std::vector<std::string>{"b"});
        CHECK(registry.on_evacuation("north", false));
    }
    SUBCASE("an entry is written again")
    {
        auto entry = make_entry("b", "south");
        entry.slots = 7;
        registry.on_entry(entry);
        CHECK(used_searchers(simulation, "s") == std::vector<std::string>{"a"});
        CHECK(registry.on_evacuation("south", false));
    }
    SUBCASE("an entry lapses and comes back")
    {
        registry.on_removed("b");
        registry.on_entry(make_entry("b", "south"));
        CHECK(used_searchers(simulation, "s") == std::vector<std::string>{"a"});
        CHECK(registry.on_evacuation("south", false));
    }
    SUBCASE("its process is replaced")
    {
        auto entry = make_entry("b", "south");
        entry.incarnation = 2;
        registry.on_entry(entry);
        CHECK(used_searchers(simulation, "s") == std::vector<std::string>{"a"});
        CHECK(registry.on_evacuation("south", false));
    }
    CHECK(
        used_searchers(simulation, "s") == std::vector<std::string>{"a", "b"});
}

// Guards against an order that is lost because its searchers are not known yet:
// an instance that starts may read the order first.
TEST_CASE("an evacuation precedes the searchers that it concerns")
{
    engine_simulation simulation;
    CHECK(simulation.registry.on_evacuation("south", true));
    CHECK(simulation.registry.on_evacuation("nowhere", true));
    add_searcher(simulation, make_entry("a", "north"));
    add_searcher(simulation, make_entry("b", "south"));
    CHECK(used_searchers(simulation, "s") == std::vector<std::string>{"a"});
}

// Guards against an entry that keeps the state of the data centre that it was
// in before.
TEST_CASE("a searcher that moves follows the state of its data centre")
{
    engine_simulation simulation;
    simulation.registry.on_evacuation("south", true);
    add_searcher(simulation, make_entry("a", "north"));
    add_searcher(simulation, make_entry("a", "south"));
    CHECK(used_searchers(simulation, "s").empty());
    add_searcher(simulation, make_entry("a", "north"));
    CHECK(used_searchers(simulation, "s") == std::vector<std::string>{"a"});
}

// Guards against a searcher that is used again at the end of an evacuation
// although it left in the meantime.
TEST_CASE("a searcher that leaves during an evacuation does not return")
{
    engine_simulation simulation;
    auto& registry = simulation.registry;
    add_searcher(simulation, make_entry("a", "south"));
    registry.on_evacuation("south", true);
    SUBCASE("it is draining")
    {
        auto entry = make_entry("a", "south");
        entry.is_draining = true;
        registry.on_entry(entry);
    }
    SUBCASE("its entry is removed")
    {
        registry.on_removed("a");
    }
    SUBCASE("it said in an answer that it is leaving")
    {
        CHECK(registry.on_departure("a", 0));
    }
    registry.on_evacuation("south", false);
    CHECK(used_searchers(simulation, "s").empty());
}

// Guards against first attempts, hedges and retries for an evacuated data
// centre, and against work in flight that is given up.
TEST_CASE("no attempt goes to an evacuated data centre, running ones end")
{
    engine_simulation simulation;
    add_searcher(simulation, make_entry("a", "north"));
    add_searcher(simulation, make_entry("b", "south"));
    const auto slow_answer = [] {
        return engine_simulation::behaviour{attempt_outcome::answered, 300ms};
    };
    simulation.scripts["a"] = slow_answer;
    simulation.scripts["b"] = slow_answer;
    const auto tested_route =
        simulation.make_single_route("s", execution_semantics::idempotent);
    for (int i = 0; i < 6; ++i)
        simulation.start_request(tested_route);
    const auto sent_before = count_attempts(simulation, "b");
    REQUIRE(sent_before > 0);
    simulation.registry.on_evacuation("south", true);
    simulation.engine.on_searchers_lost();
    for (int i = 0; i < 4; ++i)
        simulation.start_request(tested_route);
    simulation.run_for(2s);
    CHECK(count_attempts(simulation, "b") == sent_before);
    CHECK(simulation.abandoned_attempts.empty());
    CHECK(simulation.results.size() == 10);
    for (const auto& [id, result] : simulation.results)
        CHECK(result.failure == forward_failure::none);
}

// Guards against callers that wait for their timeout because the last searcher
// for their request has been evacuated.
TEST_CASE("a waiting request is refused when its last searcher is evacuated")
{
    engine_simulation simulation;
    add_searcher(simulation, make_entry("a", "south"));
    simulation.scripts["a"] = [] {
        return engine_simulation::behaviour{attempt_outcome::answered, 100ms};
    };
    const auto tested_route =
        simulation.make_single_route("s", execution_semantics::at_most_once);
    constexpr std::size_t request_count = 9;
    for (std::size_t i = 0; i < request_count; ++i)
        simulation.start_request(tested_route);
    REQUIRE(simulation.results.empty());
    simulation.registry.on_evacuation("south", true);
    simulation.engine.on_searchers_lost();
    REQUIRE(simulation.results.size() == 1);
    const auto& refused = simulation.results.begin()->second;
    CHECK(refused.execution == outcome::not_run);
    CHECK(refused.retry_after > duration::zero());
    simulation.run_for(200ms);
    CHECK(simulation.results.size() == request_count);
    const auto late_request = simulation.start_request(tested_route);
    REQUIRE(simulation.results.contains(late_request));
    CHECK(simulation.results[late_request].execution == outcome::not_run);
    CHECK(simulation.results[late_request].retry_after > duration::zero());
    CHECK(count_attempts(simulation, "a") == 8);
}

// Guards against a gathered answer that waits for a shard whose last searcher
// has been evacuated, or that does not state it as missing.
TEST_CASE("a shard without searchers after an evacuation is a missing part")
{
    engine_simulation simulation;
    const auto tested_route = simulation.make_gathered_route(4, 0.7);
    for (int i = 0; i < 3; ++i)
        add_searcher(
            simulation,
            make_entry(
                "n" + std::to_string(i), "north", "s" + std::to_string(i)));
    add_searcher(simulation, make_entry("d", "south", "s3"));
    simulation.registry.on_evacuation("south", true);
    const auto id = simulation.start_request(tested_route);
    simulation.run_for(20ms);
    REQUIRE(simulation.results.contains(id));
    CHECK(simulation.results[id].failure == forward_failure::none);
    CHECK(simulation.results[id].missing_parts == 1);
}
