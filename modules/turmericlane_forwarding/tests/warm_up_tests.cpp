#include "engine_simulation.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;
using tests::engine_simulation;

namespace
{

constexpr time_point start = time_point(100s);

/** Lets an instance send whenever it may and returns how many requests it
    sends. */
int send_all(warm_up_pacer& pacer, time_point begin, time_point end)
{
    int count = 0;
    for (auto now = begin; now < end; now += 1ms)
    {
        while (pacer.allows_request(now) && count < 1'000'000)
        {
            pacer.on_request_sent(now);
            ++count;
            if (!pacer.is_cold(now))
                break;
        }
    }
    return count;
}

/** Makes a searcher cold, of whose rate this instance has a share. */
void make_cold(
    const std::shared_ptr<searcher>& target,
    std::uint32_t max_requests,
    time_point end)
{
    target->warm_up().set_rate(6.0 * std::max(max_requests, 1U));
    target->warm_up().set_limit({max_requests, 1s}, time_point::max());
    target->warm_up().on_cold_until(end);
}

} // namespace

// Guards against more requests than the share in some second, whatever its
// start.
TEST_CASE("a pacer allows its share in any sliding second")
{
    warm_up_pacer pacer;
    pacer.set_rate(12.0);
    pacer.set_limit({3, 1s}, time_point::max());
    pacer.on_cold_until(start + 10s);
    CHECK(send_all(pacer, start, start + 300ms) == 3);
    // A window is longer than a second by the time that sending may take.
    CHECK_FALSE(pacer.allows_request(start + 1099ms));
    CHECK(pacer.next_request_time() == start + 1100ms);
    CHECK(send_all(pacer, start + 300ms, start + 2199ms) == 3);
    CHECK(pacer.allows_request(start + 2200ms));
}

// Guards against a bound on searchers of services without a rate, and on warm
// ones.
TEST_CASE("a pacer does not limit a searcher that is warm or has no rate")
{
    warm_up_pacer pacer;
    pacer.on_cold_until(start + 10s);
    CHECK(send_all(pacer, start, start + 100ms) == 100);
    CHECK(pacer.next_request_time() <= start);
    pacer.set_rate(5.0);
    CHECK(send_all(pacer, start + 10s, start + 10100ms) == 100);
    CHECK(pacer.next_request_time() <= start + 10s);
}

// Guards against a burst at the moment at which a busy searcher becomes cold:
// what it got in the second before is still in its queue.
TEST_CASE("requests before a searcher becomes cold count")
{
    warm_up_pacer pacer;
    pacer.set_rate(6.0);
    pacer.set_limit({2, 1s}, time_point::max());
    CHECK(send_all(pacer, start, start + 100ms) == 100);
    pacer.on_cold_until(start + 5s);
    CHECK(send_all(pacer, start + 100ms, start + 1198ms) == 0);
    CHECK(send_all(pacer, start + 1198ms, start + 1300ms) == 2);
}

// Guards against a searcher that counts as warm because one source is behind
// another.
TEST_CASE("the latest end of the warm-up that was stated counts")
{
    warm_up_pacer pacer;
    pacer.set_rate(6.0);
    pacer.on_cold_until(start + 5s);
    pacer.on_cold_until(start + 2s);
    CHECK(pacer.is_cold(start + 4s));
    CHECK_FALSE(pacer.is_cold(start + 5s));
    // Without a share, nothing is sent until the end.
    CHECK_FALSE(pacer.allows_request(start + 4s));
    CHECK(pacer.next_request_time() == start + 5s);
    CHECK(pacer.allows_request(start + 5s));
}

// Guards against a process that uses a share after a pause, while others have
// it.
TEST_CASE("a share that was not renewed allows nothing")
{
    warm_up_pacer pacer;
    pacer.set_rate(6.0);
    pacer.set_limit({6, 1s}, start + 1s);
    pacer.on_cold_until(start + 60s);
    CHECK(pacer.allows_request(start + 1s));
    CHECK_FALSE(pacer.allows_request(start + 30s));
    pacer.set_limit({0, 1s}, start + 31s);
    CHECK_FALSE(pacer.allows_request(start + 31s));
}

// Guards against a rate below one in a second that allows one each second.
TEST_CASE("a slow rate is kept over a longer time than a second")
{
    warm_up_pacer pacer;
    pacer.set_rate(0.25);
    pacer.set_limit({1, 4s}, time_point::max());
    pacer.on_cold_until(start + 20s);
    CHECK(send_all(pacer, start, start + 16s) == 4);
}

// Guards against a searcher that is cold by its entry only for the cost, and
// against an entry that shortens what an answer has stated.
TEST_CASE("a searcher is cold by its entry and by its answers")
{
    searcher_entry entry;
    entry.id = "a";
    entry.warm_up_time = 3s;
    searcher target(entry, start);
    target.set_max_in_flight(8);
    CHECK(target.has_capacity(start));
    target.warm_up().set_rate(4.0);
    CHECK_FALSE(target.has_capacity(start));
    CHECK(target.quiet_end() == start + 3s);
    target.warm_up().on_cold_until(start + 6s);
    entry.warm_up_time = {};
    entry.slots = 2;
    target.update(entry, start + 4s);
    CHECK_FALSE(target.has_capacity(start + 5s));
    CHECK(target.has_capacity(start + 6s));
    // Another process states its own time.
    target.warm_up().on_cold_until(start + 60s);
    entry.incarnation = 2;
    target.update(entry, start + 7s);
    CHECK(target.has_capacity(start + 7s));
}

// Guards against a smaller window for a searcher that paced requests only
// seemed to make quiet.
TEST_CASE("pacing does not count as a quiet time that a searcher asked for")
{
    searcher target(searcher_entry(), start);
    target.set_max_in_flight(8);
    target.warm_up().set_rate(4.0);
    target.warm_up().set_limit({1, 1s}, time_point::max());
    target.warm_up().on_cold_until(start + 60s);
    for (int i = 0; i < 8; ++i)
        target.on_request_sent(start);
    CHECK(target.is_quiet(start));
    CHECK_FALSE(target.is_quiet_requested(start));
    CHECK(target.max_in_flight() == 8);
    // The first quiet time that it asks for halves the window.
    target.on_quiet_requested(100ms, start);
    CHECK(target.max_in_flight() == 4);
}

// Guards against requests to a cold searcher beyond the share while a warm
// replica could serve them.
TEST_CASE("warm replicas serve what a cold searcher cannot")
{
    engine_simulation simulation;
    make_cold(
        simulation.add_searcher("s", "cold"), 2, simulation.time.now() + 60s);
    make_cold(
        simulation.add_searcher("s", "no_share"), 0,
        simulation.time.now() + 60s);
    simulation.add_searcher("s", "warm");
    const auto tested_route =
        simulation.make_single_route("s", execution_semantics::idempotent);
    // More at a time than the warm replica takes.
    constexpr int burst = 12;
    constexpr int burst_count = 300;
    for (int i = 0; i < burst_count; ++i)
    {
        for (int k = 0; k < burst; ++k)
            simulation.start_request(tested_route);
        simulation.run_for(11ms);
    }
    std::map<std::string, int> counts;
    for (const auto& it : simulation.attempts)
        ++counts[it.searcher];
    CHECK(counts["cold"] <= 6);
    CHECK(counts["no_share"] == 0);
    CHECK(counts["warm"] >= burst * burst_count - 6);
    for (const auto& [id, result] : simulation.results)
        CHECK(result.failure == forward_failure::none);
}

// Guards against hedges and retries that are not counted.
TEST_CASE("hedges and retries take from the share of a cold searcher")
{
    engine_simulation simulation;
    make_cold(
        simulation.add_searcher("s", "cold"), 1, simulation.time.now() + 60s);
    simulation.add_searcher("s", "slow");
    simulation.scripts["slow"] = [] {
        return engine_simulation::behaviour{attempt_outcome::rejected, 1ms};
    };
    const auto tested_route =
        simulation.make_single_route("s", execution_semantics::idempotent);
    for (int i = 0; i < 100; ++i)
    {
        simulation.start_request(tested_route);
        simulation.run_for(9ms);
    }
    CHECK(
        std::count_if(
            simulation.attempts.begin(), simulation.attempts.end(),
            [](const auto& it) { return it.searcher == "cold"; }) == 1);
}

// Guards against requests that wait until their deadline, against refusals
// without a time to return, and against less urgent requests that get the share
// of urgent ones.
TEST_CASE("with cold replicas only, urgent requests go first")
{
    engine_simulation simulation;
    for (const auto* it : {"a", "b"})
        make_cold(
            simulation.add_searcher("s", it), 1, simulation.time.now() + 60s);
    auto urgent_route =
        simulation.make_single_route("s", execution_semantics::idempotent);
    urgent_route.target_latency = 800ms;
    auto archive_route = urgent_route;
    archive_route.rank = 2;
    // Uses the share up.
    simulation.start_request(archive_route);
    simulation.start_request(archive_route);
    simulation.run_for(10ms);
    REQUIRE(simulation.results.size() == 2);
    // The next share comes too late for a request that arrives now.
    const auto early = simulation.start_request(urgent_route);
    REQUIRE(simulation.results.contains(early));
    CHECK(simulation.results[early].failure == forward_failure::no_searcher);
    CHECK(simulation.results[early].execution == outcome::not_run);
    CHECK(simulation.results[early].retry_after >= 900ms);
    CHECK(simulation.results[early].retry_after <= 1400ms);
    // These arrive shortly before it.
    simulation.run_for(950ms);
    std::vector<request_handle> archive_requests(4);
    std::vector<request_handle> urgent_requests(2);
    for (auto& it : archive_requests)
        it = simulation.start_request(archive_route);
    for (auto& it : urgent_requests)
        it = simulation.start_request(urgent_route);
    simulation.run_for(200ms);
    for (const auto it : urgent_requests)
    {
        REQUIRE(simulation.results.contains(it));
        CHECK(simulation.results[it].failure == forward_failure::none);
    }
    for (const auto it : archive_requests)
    {
        REQUIRE(simulation.results.contains(it));
        CHECK(simulation.results[it].execution == outcome::not_run);
        CHECK(simulation.results[it].failure != forward_failure::none);
        CHECK(simulation.results[it].retry_after > 0ms);
    }
}
