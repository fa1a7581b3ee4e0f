#include "engine_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace turmericlane;
using namespace std::chrono_literals;
using tests::engine_simulation;

namespace
{

using behaviour = engine_simulation::behaviour;

auto always_end_with(attempt_outcome outcome, duration delay = 1ms)
{
    return [outcome, delay] { return behaviour{outcome, delay}; };
}

auto never_end()
{
    return [] { return behaviour{attempt_outcome::answered, std::nullopt}; };
}

void add_shards(engine_simulation& simulation, int shards, int replicas)
{
    for (int i = 0; i < shards; ++i)
    {
        const auto service = "s" + std::to_string(i);
        for (int replica = 0; replica < replicas; ++replica)
            simulation.add_searcher(
                service, service + "-" + std::to_string(replica));
    }
}

/** Sends requests until the latencies of the route are known. */
void learn_latencies(engine_simulation& simulation, const route& tested_route)
{
    for (int i = 0; i < 40; ++i)
    {
        simulation.start_request(tested_route);
        simulation.run_for(20ms);
    }
    simulation.attempts.clear();
    simulation.hedges = simulation.retries = 0;
}

} // namespace

TEST_CASE("a gather asks each shard once and merges all parts")
{
    engine_simulation simulation;
    add_shards(simulation, 10, 3);
    const auto id =
        simulation.start_request(simulation.make_gathered_route(10, 0.9));
    simulation.run_for(50ms);
    REQUIRE(simulation.results.contains(id));
    const auto& result = simulation.results[id];
    CHECK(result.failure == forward_failure::none);
    CHECK(result.part_signatures.size() == 10);
    CHECK(result.missing_parts == 0);
    CHECK(result.answer.body.size() == 5 * record_bytes);
    CHECK(simulation.attempts.size() == 10);
}

// Guards against a late answer because a single searcher pauses.
TEST_CASE("an overdue part is hedged on another replica")
{
    engine_simulation simulation;
    add_shards(simulation, 4, 3);
    const auto tested_route = simulation.make_gathered_route(4, 0.9);
    learn_latencies(simulation, tested_route);
    simulation.scripts["s0-0"] =
        always_end_with(attempt_outcome::answered, 150ms);
    for (int i = 0; i < 10; ++i)
    {
        const auto id = simulation.start_request(tested_route);
        simulation.run_for(300ms);
        CHECK(simulation.results[id].missing_parts == 0);
        CHECK(simulation.latencies[id] < 60ms);
    }
    CHECK(simulation.hedges >= 1);
}

// Guards against a late answer where the route's minimum coverage allows an
// incomplete one in time.
TEST_CASE("a missing part is left out of an answer in time and reported")
{
    engine_simulation simulation;
    add_shards(simulation, 10, 1);
    const auto tested_route = simulation.make_gathered_route(10, 0.9);
    learn_latencies(simulation, tested_route);
    simulation.scripts["s3-0"] = never_end();
    const auto id = simulation.start_request(tested_route);
    simulation.run_for(500ms);
    CHECK(simulation.results[id].failure == forward_failure::none);
    CHECK(simulation.results[id].missing_parts == 1);
    CHECK(simulation.results[id].part_signatures.size() == 9);
    CHECK(simulation.latencies[id] <= 100ms);
}

TEST_CASE("a request with too few parts at the deadline fails")
{
    engine_simulation simulation;
    add_shards(simulation, 10, 1);
    for (const auto* it : {"s3-0", "s4-0"})
        simulation.scripts[it] = never_end();
    const auto id = simulation.start_request(
        simulation.make_gathered_route(10, 0.9), 400ms);
    simulation.run_for(500ms);
    CHECK(simulation.results[id].failure == forward_failure::deadline);
    CHECK(simulation.results[id].execution == outcome::may_have_run);
    CHECK(simulation.latencies[id] <= 400ms);
    CHECK(simulation.abandoned_attempts.size() == 2);
}

// Guards against execution on more searchers than the route allows.
TEST_CASE("a sub-request is executed on at most max_attempts searchers")
{
    engine_simulation simulation;
    add_shards(simulation, 1, 3);
    for (const auto* it : {"s0-0", "s0-1", "s0-2"})
        simulation.scripts[it] = always_end_with(attempt_outcome::server_error);
    const auto id =
        simulation.start_request(simulation.make_gathered_route(1, 1.0));
    simulation.run_for(500ms);
    CHECK(simulation.results[id].failure == forward_failure::attempts_failed);
    CHECK(simulation.attempts.size() == 2);
}

// Guards against a sub-request that fails because two of its three searchers
// lost power: neither has executed it.
TEST_CASE("an unacknowledged attempt does not count as executed")
{
    engine_simulation simulation;
    add_shards(simulation, 1, 3);
    for (const auto* it : {"s0-0", "s0-1"})
        simulation.scripts[it] =
            always_end_with(attempt_outcome::unacknowledged, 200ms);
    const auto tested_route = simulation.make_gathered_route(1, 1.0);
    std::size_t most_attempts = 0;
    for (int i = 0; i < 10; ++i)
    {
        simulation.attempts.clear();
        const auto id = simulation.start_request(tested_route);
        simulation.run_for(600ms);
        REQUIRE(simulation.results.contains(id));
        CHECK(simulation.results[id].failure == forward_failure::none);
        most_attempts = std::max(most_attempts, simulation.attempts.size());
    }
    CHECK(most_attempts >= 3);
    // Both are ejected from then on.
    simulation.attempts.clear();
    for (int i = 0; i < 5; ++i)
        simulation.start_request(tested_route);
    for (const auto& it : simulation.attempts)
        CHECK(it.searcher == "s0-2");
}

// Guards against a second execution of an at-most-once request of which only
// the acknowledgement was lost.
TEST_CASE("an unacknowledged attempt may have run")
{
    engine_simulation simulation;
    simulation.add_searcher("s", "a");
    simulation.add_searcher("s", "b");
    for (const auto* it : {"a", "b"})
        simulation.scripts[it] =
            always_end_with(attempt_outcome::unacknowledged, 200ms);
    const auto id = simulation.start_request(
        simulation.make_single_route("s", execution_semantics::at_most_once));
    simulation.run_for(1s);
    CHECK(simulation.attempts.size() == 1);
    CHECK(simulation.results[id].execution == outcome::may_have_run);
}

TEST_CASE("a rejected attempt does not count as executed")
{
    engine_simulation simulation;
    add_shards(simulation, 1, 3);
    for (const auto* it : {"s0-0", "s0-1"})
        simulation.scripts[it] = always_end_with(attempt_outcome::rejected);
    const auto id =
        simulation.start_request(simulation.make_gathered_route(1, 1.0));
    simulation.run_for(500ms);
    CHECK(simulation.results[id].failure == forward_failure::none);
}

// Guards against a second execution of an at-most-once request.
TEST_CASE("an at-most-once request is retried only if it has not run")
{
    SUBCASE("broken: it may have run")
    {
        engine_simulation simulation;
        simulation.add_searcher("s", "a");
        simulation.add_searcher("s", "b");
        for (const auto* it : {"a", "b"})
            simulation.scripts[it] = always_end_with(attempt_outcome::broken);
        const auto id = simulation.start_request(simulation.make_single_route(
            "s", execution_semantics::at_most_once));
        simulation.run_for(500ms);
        CHECK(simulation.attempts.size() == 1);
        CHECK(simulation.results[id].execution == outcome::may_have_run);
    }
    SUBCASE("rejected: it has not run")
    {
        engine_simulation simulation;
        simulation.add_searcher("s", "a");
        simulation.add_searcher("s", "b");
        for (const auto* it : {"a", "b"})
            simulation.scripts[it] = always_end_with(attempt_outcome::rejected);
        const auto id = simulation.start_request(simulation.make_single_route(
            "s", execution_semantics::at_most_once));
        simulation.run_for(500ms);
        CHECK(simulation.attempts.size() >= 2);
        CHECK(simulation.results[id].execution == outcome::not_run);
    }
    SUBCASE("unanswered: it is never hedged")
    {
        engine_simulation simulation;
        simulation.add_searcher("s", "a");
        simulation.add_searcher("s", "b");
        for (const auto* it : {"a", "b"})
            simulation.scripts[it] = never_end();
        const auto id = simulation.start_request(simulation.make_single_route(
            "s", execution_semantics::at_most_once));
        simulation.run_for(3s);
        CHECK(simulation.attempts.size() == 1);
        CHECK(simulation.results[id].execution == outcome::may_have_run);
    }
}

// Guards against work at searchers for a caller that has disconnected.
TEST_CASE("attempts end when the caller disconnects")
{
    engine_simulation simulation;
    add_shards(simulation, 5, 1);
    for (int i = 0; i < 5; ++i)
        simulation.scripts["s" + std::to_string(i) + "-0"] = never_end();
    const auto id =
        simulation.start_request(simulation.make_gathered_route(5, 0.9));
    simulation.run_for(10ms);
    simulation.engine.on_caller_left(id);
    CHECK(simulation.abandoned_attempts.size() == 5);
    CHECK(simulation.engine.in_flight() == 0);
    CHECK(simulation.engine.attempts_in_flight() == 0);
    CHECK_FALSE(simulation.results.contains(id));
}

TEST_CASE("the time left is passed on to the searchers")
{
    engine_simulation simulation;
    add_shards(simulation, 1, 2);
    simulation.start_request(simulation.make_gathered_route(1, 1.0), 800ms);
    REQUIRE(simulation.attempts.size() == 1);
    CHECK(simulation.attempts.front().time_left <= 800ms);
    CHECK(simulation.attempts.front().time_left > 700ms);
    engine_simulation other_simulation;
    add_shards(other_simulation, 1, 2);
    other_simulation.start_request(
        other_simulation.make_gathered_route(1, 1.0), 30s);
    CHECK(other_simulation.attempts.front().time_left <= 2s);
}

// Guards against keeping a request that no searcher can serve until its
// deadline.
TEST_CASE("a request without enough searchers is refused at once")
{
    engine_simulation simulation;
    add_shards(simulation, 8, 1);
    const auto id =
        simulation.start_request(simulation.make_gathered_route(10, 0.9));
    REQUIRE(simulation.results.contains(id));
    CHECK(simulation.results[id].failure == forward_failure::no_searcher);
    CHECK(simulation.results[id].execution == outcome::not_run);
    CHECK(simulation.results[id].retry_after > duration::zero());
    CHECK(simulation.attempts.empty());
}

// Guards against work at 34 shards and a wait until the deadline for an answer
// that two failed shards make impossible.
TEST_CASE("a request with too many failed shards is refused at once")
{
    engine_simulation simulation;
    add_shards(simulation, 10, 2);
    const auto tested_route = simulation.make_gathered_route(10, 0.9);
    for (const auto* it : {"s0-0", "s0-1", "s1-0", "s1-1"})
        simulation.scripts[it] = always_end_with(attempt_outcome::not_sent);
    const auto first_id = simulation.start_request(tested_route, 400ms);
    simulation.run_for(500ms);
    CHECK(simulation.results[first_id].failure != forward_failure::none);
    simulation.attempts.clear();
    const auto second_id = simulation.start_request(tested_route, 400ms);
    REQUIRE(simulation.results.contains(second_id));
    CHECK(simulation.latencies[second_id] == duration::zero());
    CHECK(simulation.attempts.empty());
    CHECK(
        simulation.results[second_id].failure == forward_failure::no_searcher);
    CHECK(simulation.results[second_id].execution == outcome::not_run);
    CHECK(simulation.results[second_id].retry_after >= 50ms);
    CHECK(simulation.results[second_id].retry_after <= 3100ms);
    // One of the two shards is back.
    for (const auto& it : simulation.registry.service_searchers("s1"))
        it->on_reachable();
    simulation.scripts.erase("s1-0");
    simulation.scripts.erase("s1-1");
    const auto third_id = simulation.start_request(tested_route, 400ms);
    simulation.run_for(500ms);
    CHECK(simulation.results[third_id].failure == forward_failure::none);
    CHECK(simulation.results[third_id].missing_parts == 1);
}

// Guards against an answer that waits until its target for a failed shard.
TEST_CASE("an answer does not wait for a shard that is known to be down")
{
    engine_simulation simulation;
    add_shards(simulation, 10, 2);
    const auto tested_route = simulation.make_gathered_route(10, 0.9);
    learn_latencies(simulation, tested_route);
    for (const auto& it : simulation.registry.service_searchers("s0"))
        it->on_failure(simulation.time.now());
    const auto id = simulation.start_request(tested_route);
    simulation.run_for(20ms);
    REQUIRE(simulation.results.contains(id));
    CHECK(simulation.results[id].failure == forward_failure::none);
    CHECK(simulation.results[id].missing_parts == 1);
    CHECK(simulation.attempts.size() == 9);
}

// Guards against a request that fails because the budget of extra attempts is
// empty for a moment.
TEST_CASE("a retry that the budget does not allow yet is postponed")
{
    engine_simulation simulation({0.0, 1.3, 1s});
    simulation.add_searcher("s0", "a");
    simulation.add_searcher("s0", "b");
    int call_count = 0;
    const auto script = [&call_count]
    {
        ++call_count;
        const auto is_answered = call_count == 2 || call_count == 4;
        return behaviour{
            is_answered ? attempt_outcome::answered : attempt_outcome::rejected,
            1ms};
    };
    simulation.scripts["a"] = script;
    simulation.scripts["b"] = script;
    const auto tested_route = simulation.make_gathered_route(1, 1.0);
    const auto first_id = simulation.start_request(tested_route);
    simulation.run_for(20ms);
    CHECK(simulation.results[first_id].failure == forward_failure::none);
    const auto second_id = simulation.start_request(tested_route);
    simulation.run_for(20ms);
    CHECK_FALSE(simulation.results.contains(second_id));
    simulation.run_for(1500ms);
    CHECK(simulation.results[second_id].failure == forward_failure::none);
}

// In a burst beyond the capacity of the searchers, urgent requests are still
// answered in time, and a refused request has not been sent.
TEST_CASE("in a burst urgent requests are answered and refused ones not run")
{
    engine_simulation simulation;
    simulation.add_searcher("u", "one")->set_max_in_flight(2);
    simulation.scripts["one"] =
        always_end_with(attempt_outcome::answered, 20ms);
    auto urgent =
        simulation.make_single_route("u", execution_semantics::idempotent);
    urgent.name = "urgent";
    auto archive =
        simulation.make_single_route("u", execution_semantics::idempotent);
    archive.name = "archive";
    archive.rank = 2;
    for (int i = 0; i < 40; ++i)
    {
        simulation.start_request(archive);
        simulation.run_for(25ms);
    }
    for (int i = 0; i < 40; ++i)
    {
        simulation.start_request(urgent);
        simulation.run_for(25ms);
    }
    std::set<request_handle> urgent_ids;
    std::set<request_handle> archive_ids;
    for (int i = 0; i < 200; ++i)
    {
        archive_ids.insert(simulation.start_request(archive));
        archive_ids.insert(simulation.start_request(archive));
        if (i % 4 == 0)
            urgent_ids.insert(simulation.start_request(urgent));
        simulation.run_for(10ms);
    }
    simulation.run_for(3s);
    const auto count_answered_in_time = [&](const std::set<request_handle>& ids)
    {
        return std::count_if(
            ids.begin(), ids.end(),
            [&](auto id)
            {
                return simulation.results[id].failure ==
                           forward_failure::none &&
                       simulation.latencies[id] <= 100ms;
            });
    };
    CHECK(count_answered_in_time(urgent_ids) >= 48);
    CHECK(count_answered_in_time(archive_ids) >= 100);
    for (const auto id : archive_ids)
    {
        if (simulation.results[id].failure != forward_failure::overloaded)
            continue;
        CHECK(simulation.results[id].execution == outcome::not_run);
        CHECK(simulation.latencies[id] == duration::zero());
        CHECK(simulation.results[id].retry_after > duration::zero());
    }
}
