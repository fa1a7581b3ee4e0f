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

// Guards against accepting anything while nothing is known of a route.
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

// Guards against cutting off a gathered request that waits for late parts.
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

// Guards against requests that get no answer, and against "not run" for one
// that runs.
TEST_CASE("a stop ends every request, and sends nothing more")
{
    engine_simulation simulation;
    const auto capacity = simulation.add_searcher("one", "a")->max_in_flight();
    simulation.scripts["a"] = [] {
        return behaviour{attempt_outcome::answered, std::nullopt};
    };
    const auto tested_route =
        simulation.make_single_route("one", execution_semantics::at_most_once);
    std::vector<request_handle> requests;
    for (std::size_t i = 0; i < capacity + 3; ++i)
        requests.push_back(simulation.start_request(tested_route));
    REQUIRE(simulation.attempts.size() == capacity);
    REQUIRE(simulation.results.empty());
    simulation.engine.stop();
    for (std::size_t i = 0; i < requests.size(); ++i)
    {
        CAPTURE(i);
        REQUIRE(simulation.results.contains(requests[i]));
        const auto& result = simulation.results[requests[i]];
        CHECK(result.failure == forward_failure::stopping);
        CHECK(
            result.execution ==
            (i < capacity ? outcome::may_have_run : outcome::not_run));
    }
    CHECK(simulation.attempts.size() == capacity);
    CHECK(simulation.abandoned_attempts.size() == capacity);
    CHECK(simulation.engine.in_flight() == 0);
    CHECK(simulation.engine.attempts_in_flight() == 0);
}

// Guards against parts that have arrived and are not delivered.
TEST_CASE("a stop answers a gathered request that has enough parts")
{
    for (const auto missing : {1, 2})
    {
        engine_simulation simulation;
        for (int i = 0; i < 4; ++i)
        {
            const auto id = "a" + std::to_string(i);
            simulation.add_searcher("s" + std::to_string(i), id);
            if (i < missing)
                simulation.scripts[id] = [] {
                    return behaviour{attempt_outcome::answered, std::nullopt};
                };
        }
        const auto id =
            simulation.start_request(simulation.make_gathered_route(4, 0.75));
        simulation.run_for(10ms);
        REQUIRE_FALSE(simulation.results.contains(id));
        simulation.engine.stop();
        REQUIRE(simulation.results.contains(id));
        const auto& result = simulation.results[id];
        CHECK(
            result.failure ==
            (missing == 1 ? forward_failure::none : forward_failure::stopping));
        CHECK(result.part_signatures.size() == (missing == 1 ? 3 : 0));
    }
}

// Guards against a silent searcher that cannot be told from one at work when a
// stop has cut a request.
TEST_CASE("an open request shows its age and what its searcher does")
{
    engine_simulation simulation;
    simulation.add_searcher("one", "a");
    auto is_held = true;
    simulation.scripts["a"] = [&is_held]
    {
        behaviour result;
        if (is_held)
            result.delay = std::nullopt;
        return result;
    };
    const auto tested_route =
        simulation.make_single_route("one", execution_semantics::at_most_once);
    const auto held = simulation.start_request(tested_route, 1s);
    simulation.run_for(300ms);
    const auto silent = simulation.engine.open_requests(10);
    REQUIRE(silent.size() == 1);
    CHECK(silent.front().id == held);
    CHECK(silent.front().age == 300ms);
    CHECK(silent.front().time_left > 600ms);
    CHECK(silent.front().time_left <= 700ms);
    REQUIRE(silent.front().attempts.size() == 1);
    CHECK(silent.front().attempts.front().searcher == "a");
    CHECK(silent.front().attempts.front().state == "running");
    CHECK(silent.front().attempts.front().age == 300ms);
    CHECK(silent.front().attempts.front().silence == 300ms);

    is_held = false;
    simulation.start_request(tested_route, 1s);
    simulation.run_for(105ms);
    const auto at_work = simulation.engine.open_requests(10);
    REQUIRE(at_work.size() == 1);
    REQUIRE(at_work.front().attempts.size() == 1);
    CHECK(at_work.front().attempts.front().age == 405ms);
    CHECK(at_work.front().attempts.front().silence == 100ms);
}

// Guards against a log that grows with the number of open requests.
TEST_CASE("the list of open requests is bounded and begins with the oldest")
{
    engine_simulation simulation;
    simulation.add_searcher("one", "a");
    simulation.scripts["a"] = [] {
        return behaviour{attempt_outcome::answered, std::nullopt};
    };
    const auto tested_route =
        simulation.make_single_route("one", execution_semantics::at_most_once);
    constexpr int request_count = 12;
    std::vector<request_handle> ids;
    ids.reserve(request_count);
    for (int i = 0; i < request_count; ++i)
        ids.push_back(simulation.start_request(tested_route));
    REQUIRE(simulation.engine.in_flight() == ids.size());
    const auto listed = simulation.engine.open_requests(10);
    REQUIRE(listed.size() == 10);
    CHECK(listed.front().id == ids.front());
    CHECK(listed.back().id == ids[9]);
    // The searcher's room is for eight; the others wait.
    REQUIRE(listed.back().attempts.size() == 1);
    CHECK(listed.back().attempts.front().state == "waiting");
    CHECK(listed.back().attempts.front().searcher.empty());
}
