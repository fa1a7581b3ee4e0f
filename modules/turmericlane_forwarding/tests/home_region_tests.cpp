#include "engine_simulation.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;
using tests::engine_simulation;

namespace
{

/** A simulation with the searchers a in north (region upland), b in south
    (lowland) and c in a data centre of unknown region, of one service. */
struct home_simulation : engine_simulation
{
    home_simulation()
        : engine_simulation(
              {0.2, 54.0},
              region_map({{"north", "upland"}, {"south", "lowland"}}))
    {
        add("a", "north");
        add("b", "south");
        add("c", "elsewhere");
    }

    void add(const std::string& id, const std::string& data_centre)
    {
        searcher_entry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = "10.0.0.1";
        entry.port = 80;
        entry.data_centre = data_centre;
        entry.slots = 3;
        registry.on_entry(entry);
        registry.for_each([](const auto& it) { it->set_max_in_flight(2); });
    }

    route make_home_route(std::vector<std::string> regions)
    {
        auto result = make_single_route("s", execution_semantics::idempotent);
        result.home_regions = std::move(regions);
        return result;
    }
};

} // namespace

// Guards against requests, hedges and retries that leave their home regions.
TEST_CASE("requests of a route with home regions stay in them")
{
    home_simulation simulation;
    simulation.scripts["a"] = [] {
        return engine_simulation::behaviour{attempt_outcome::broken, 40ms};
    };
    const auto tested_route = simulation.make_home_route({"upland"});
    for (int i = 0; i < 30; ++i)
    {
        simulation.start_request(tested_route);
        simulation.run_for(100ms);
    }
    CHECK_FALSE(simulation.attempts.empty());
    for (const auto& it : simulation.attempts)
        CHECK(it.searcher == "a");
}

// Guards against a request that leaves its home regions, or waits in vain,
// because no searcher there can take it.
TEST_CASE("without a searcher in the home regions a request is refused")
{
    home_simulation simulation;
    SUBCASE("no data centre is in the region")
    {
        simulation.start_request(simulation.make_home_route({"coast"}));
    }
    SUBCASE("the data centre of the region is evacuated")
    {
        simulation.registry.on_evacuation("north", true);
        simulation.start_request(simulation.make_home_route({"upland"}));
    }
    REQUIRE(simulation.results.size() == 1);
    CHECK(simulation.results.begin()->second.execution == outcome::not_run);
    CHECK(
        simulation.results.begin()->second.failure ==
        forward_failure::no_searcher);
    CHECK(simulation.attempts.empty());
}

// Guards against a request that waits for a searcher of its home regions while
// it holds up others that may be served elsewhere.
TEST_CASE("a request that waits for its home does not hold up the others")
{
    home_simulation simulation;
    simulation.scripts["a"] = [] {
        return engine_simulation::behaviour{attempt_outcome::answered, 900ms};
    };
    const auto short_answer = [] {
        return engine_simulation::behaviour{attempt_outcome::answered, 100ms};
    };
    simulation.scripts["b"] = short_answer;
    simulation.scripts["c"] = short_answer;
    const auto home_route = simulation.make_home_route({"upland"});
    const auto open_route = simulation.make_home_route({});
    for (int i = 0; i < 4; ++i)
        simulation.start_request(home_route);
    for (int i = 0; i < 5; ++i)
        simulation.start_request(open_route);
    // Two home requests run at a and two wait; one open request waits behind
    // them until b or c answers.
    simulation.run_for(250ms);
    CHECK(simulation.results.size() == 5);
    simulation.run_for(2s);
    CHECK(simulation.results.size() == 9);
    for (const auto& [id, result] : simulation.results)
        CHECK(result.failure == forward_failure::none);
}

// Guards against a route without home regions that is restricted.
TEST_CASE("a route without home regions uses every data centre")
{
    home_simulation simulation;
    const auto tested_route = simulation.make_home_route({});
    for (int i = 0; i < 6; ++i)
        simulation.start_request(tested_route);
    CHECK(simulation.attempts.size() == 6);
}
