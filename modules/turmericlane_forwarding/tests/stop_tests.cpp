#include "engine_simulation.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;
using tests::engine_simulation;

namespace
{

using behaviour = engine_simulation::behaviour;

bool is_refused_for_stop(const forward_result& result)
{
    return result.failure == forward_failure::stopping &&
           result.execution == outcome::not_run;
}

} // namespace

// Guards against requests that are accepted late in a planned stop and cut off
// at its end.
TEST_CASE("a stopping instance takes only what it is expected to finish")
{
    engine_simulation simulation;
    simulation.add_searcher("one", "a");
    simulation.scripts["a"] = [] {
        return behaviour{attempt_outcome::answered, 300ms};
    };
    const auto tested_route =
        simulation.make_single_route("one", execution_semantics::at_most_once);
    for (int i = 0; i < 40; ++i)
    {
        simulation.start_request(tested_route);
        simulation.run_for(320ms);
    }
    simulation.attempts.clear();
    simulation.engine.prepare_stop(simulation.time.now() + 1s);
    const auto early = simulation.start_request(tested_route);
    simulation.run_for(500ms);
    REQUIRE(simulation.results.contains(early));
    CHECK(simulation.results[early].failure == forward_failure::none);
    const auto late = simulation.start_request(tested_route);
    REQUIRE(simulation.results.contains(late));
    CHECK(is_refused_for_stop(simulation.results[late]));
    CHECK(simulation.attempts.size() == 1);
    // Its own time limit ends it before the instance does.
    const auto short_request = simulation.start_request(tested_route, 400ms);
    CHECK_FALSE(simulation.results.contains(short_request));
    CHECK(simulation.attempts.size() == 2);
}

TEST_CASE("without known latencies the target tells how long a request takes")
{
    engine_simulation simulation;
    simulation.add_searcher("one", "a");
    auto tested_route =
        simulation.make_single_route("one", execution_semantics::idempotent);
    tested_route.target_latency = 700ms;
    simulation.engine.prepare_stop(simulation.time.now() + 1s);
    const auto early = simulation.start_request(tested_route);
    CHECK_FALSE(simulation.results.contains(early));
    simulation.run_for(400ms);
    const auto late = simulation.start_request(tested_route);
    REQUIRE(simulation.results.contains(late));
    CHECK(is_refused_for_stop(simulation.results[late]));
}

// Guards against a request that waits for a searcher beyond the end.
TEST_CASE("a stopping instance counts the wait for a searcher")
{
    work_estimate estimate;
    estimate.timeout = 8s;
    estimate.slow_latency = 100ms;
    route tested_route;
    const auto without_wait = completion_time(tested_route, estimate);
    estimate.queue_wait = 700ms;
    CHECK(completion_time(tested_route, estimate) == without_wait + 700ms);
    estimate.timeout = 300ms;
    CHECK(completion_time(tested_route, estimate) == 300ms);
}

TEST_CASE("a gathered request may wait for parts beyond its target")
{
    work_estimate estimate;
    estimate.timeout = 2s;
    estimate.slow_latency = 20ms;
    route tested_route;
    tested_route.target_latency = 120ms;
    tested_route.shards = {"s0", "s1"};
    CHECK(completion_time(tested_route, estimate) >= 240ms);
}
