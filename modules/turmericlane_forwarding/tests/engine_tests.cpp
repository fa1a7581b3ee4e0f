#include "virtual_searchers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace turmericlane;
using namespace std::chrono_literals;
using tests::virtual_searchers;

namespace
{

using behaviour = virtual_searchers::behaviour;

auto always(attempt_outcome outcome, duration after = 1ms)
{
    return [outcome, after] { return behaviour{outcome, after}; };
}

auto never()
{
    return [] { return behaviour{attempt_outcome::answered, std::nullopt}; };
}

void add_shards(virtual_searchers& world, int shards, int replicas)
{
    for (int i = 0; i < shards; ++i)
    {
        const auto service = "s" + std::to_string(i);
        for (int n = 0; n < replicas; ++n)
            world.add(service, service + "-" + std::to_string(n));
    }
}

/** Requests until the latencies of the route are known. */
void warm_up(virtual_searchers& world, const route& how)
{
    for (int i = 0; i < 40; ++i)
    {
        world.start(how);
        world.run(20ms);
    }
    world.attempts.clear();
    world.hedges = world.retries = 0;
}

} // namespace

TEST_CASE("a gather asks each shard once and merges all parts")
{
    virtual_searchers world;
    add_shards(world, 10, 3);
    const auto id = world.start(world.gathered(10, 0.9));
    world.run(50ms);
    REQUIRE(world.results.contains(id));
    const auto& got = world.results[id];
    CHECK(got.failure == forward_failure::none);
    CHECK(got.part_signatures.size() == 10);
    CHECK(got.missing_parts == 0);
    CHECK(got.answer.body.size() == 5 * record_bytes);
    CHECK(world.attempts.size() == 10);
}

// Guards against a paused searcher that makes the whole answer late.
TEST_CASE("an overdue part is hedged on another replica")
{
    virtual_searchers world;
    add_shards(world, 4, 3);
    const auto how = world.gathered(4, 0.9);
    warm_up(world, how);
    world.scripts["s0-0"] = always(attempt_outcome::answered, 150ms);
    for (int i = 0; i < 10; ++i)
    {
        const auto id = world.start(how);
        world.run(300ms);
        CHECK(world.results[id].missing_parts == 0);
        CHECK(world.took[id] < 60ms);
    }
    CHECK(world.hedges >= 1);
}

// Guards against a late answer where the route's minimum allows one in time.
TEST_CASE("a part that stays out is left out in time, and stated")
{
    virtual_searchers world;
    add_shards(world, 10, 1);
    const auto how = world.gathered(10, 0.9);
    warm_up(world, how);
    world.scripts["s3-0"] = never();
    const auto id = world.start(how);
    world.run(500ms);
    CHECK(world.results[id].failure == forward_failure::none);
    CHECK(world.results[id].missing_parts == 1);
    CHECK(world.results[id].part_signatures.size() == 9);
    CHECK(world.took[id] <= 100ms);
}

TEST_CASE("too few parts at the deadline are no answer")
{
    virtual_searchers world;
    add_shards(world, 10, 1);
    for (const auto* it : {"s3-0", "s4-0"})
        world.scripts[it] = never();
    const auto id = world.start(world.gathered(10, 0.9), 400ms);
    world.run(500ms);
    CHECK(world.results[id].failure == forward_failure::deadline);
    CHECK(world.results[id].execution == outcome::may_have_run);
    CHECK(world.took[id] <= 400ms);
    CHECK(world.abandoned.size() == 2);
}

// Guards against an attempt on more searchers than the operator allows.
TEST_CASE("a part is executed on at most max_attempts searchers")
{
    virtual_searchers world;
    add_shards(world, 1, 3);
    for (const auto* it : {"s0-0", "s0-1", "s0-2"})
        world.scripts[it] = always(attempt_outcome::server_error);
    const auto id = world.start(world.gathered(1, 1.0));
    world.run(500ms);
    CHECK(world.results[id].failure == forward_failure::attempts_failed);
    CHECK(world.attempts.size() == 2);
}

// Guards against a part that is given up because two of its three searchers
// lost power: neither has executed it.
TEST_CASE("an attempt at a searcher that is cut off does not count")
{
    virtual_searchers world;
    add_shards(world, 1, 3);
    for (const auto* it : {"s0-0", "s0-1"})
        world.scripts[it] = always(attempt_outcome::unacknowledged, 200ms);
    const auto how = world.gathered(1, 1.0);
    std::size_t most_attempts = 0;
    for (int i = 0; i < 10; ++i)
    {
        world.attempts.clear();
        const auto id = world.start(how);
        world.run(600ms);
        REQUIRE(world.results.contains(id));
        CHECK(world.results[id].failure == forward_failure::none);
        most_attempts = std::max(most_attempts, world.attempts.size());
    }
    CHECK(most_attempts >= 3);
    // Both are out of use from then on.
    world.attempts.clear();
    for (int i = 0; i < 5; ++i)
        world.start(how);
    for (const auto& it : world.attempts)
        CHECK(it.searcher == "s0-2");
}

// Guards against an order that runs twice because only an acknowledgement was
// lost.
TEST_CASE("a cut-off attempt may have run")
{
    virtual_searchers world;
    world.add("s", "a");
    world.add("s", "b");
    for (const auto* it : {"a", "b"})
        world.scripts[it] = always(attempt_outcome::unacknowledged, 200ms);
    const auto id = world.start(world.single("s", repetition::at_most_once));
    world.run(1s);
    CHECK(world.attempts.size() == 1);
    CHECK(world.results[id].execution == outcome::may_have_run);
}

TEST_CASE("a rejected attempt does not count as executed")
{
    virtual_searchers world;
    add_shards(world, 1, 3);
    for (const auto* it : {"s0-0", "s0-1"})
        world.scripts[it] = always(attempt_outcome::rejected);
    const auto id = world.start(world.gathered(1, 1.0));
    world.run(500ms);
    CHECK(world.results[id].failure == forward_failure::none);
}

// Guards against an order that runs twice.
TEST_CASE("a request that may not be repeated is sent again only if unsent")
{
    SUBCASE("broken: it may have run")
    {
        virtual_searchers world;
        world.add("s", "a");
        world.add("s", "b");
        for (const auto* it : {"a", "b"})
            world.scripts[it] = always(attempt_outcome::broken);
        const auto id =
            world.start(world.single("s", repetition::at_most_once));
        world.run(500ms);
        CHECK(world.attempts.size() == 1);
        CHECK(world.results[id].execution == outcome::may_have_run);
    }
    SUBCASE("rejected: it has not run")
    {
        virtual_searchers world;
        world.add("s", "a");
        world.add("s", "b");
        for (const auto* it : {"a", "b"})
            world.scripts[it] = always(attempt_outcome::rejected);
        const auto id =
            world.start(world.single("s", repetition::at_most_once));
        world.run(500ms);
        CHECK(world.attempts.size() >= 2);
        CHECK(world.results[id].execution == outcome::not_run);
    }
    SUBCASE("silent: it is never hedged")
    {
        virtual_searchers world;
        world.add("s", "a");
        world.add("s", "b");
        for (const auto* it : {"a", "b"})
            world.scripts[it] = never();
        const auto id =
            world.start(world.single("s", repetition::at_most_once));
        world.run(3s);
        CHECK(world.attempts.size() == 1);
        CHECK(world.results[id].execution == outcome::may_have_run);
    }
}

// Guards against work at searchers for a caller that has gone.
TEST_CASE("attempts end when the caller leaves")
{
    virtual_searchers world;
    add_shards(world, 5, 1);
    for (int i = 0; i < 5; ++i)
        world.scripts["s" + std::to_string(i) + "-0"] = never();
    const auto id = world.start(world.gathered(5, 0.9));
    world.run(10ms);
    world.engine.on_caller_left(id);
    CHECK(world.abandoned.size() == 5);
    CHECK(world.engine.in_flight() == 0);
    CHECK(world.engine.attempts_in_flight() == 0);
    CHECK_FALSE(world.results.contains(id));
}

TEST_CASE("the time left goes on to the searchers")
{
    virtual_searchers world;
    add_shards(world, 1, 2);
    world.start(world.gathered(1, 1.0), 800ms);
    REQUIRE(world.attempts.size() == 1);
    CHECK(world.attempts.front().time_left <= 800ms);
    CHECK(world.attempts.front().time_left > 700ms);
    virtual_searchers other;
    add_shards(other, 1, 2);
    other.start(other.gathered(1, 1.0), 30s);
    CHECK(other.attempts.front().time_left <= 2s);
}

// Guards against holding a request that no searcher can serve.
TEST_CASE("a request without enough searchers is refused at once")
{
    virtual_searchers world;
    add_shards(world, 8, 1);
    const auto id = world.start(world.gathered(10, 0.9));
    REQUIRE(world.results.contains(id));
    CHECK(world.results[id].failure == forward_failure::no_searcher);
    CHECK(world.results[id].execution == outcome::not_run);
    CHECK(world.results[id].retry_after > duration::zero());
    CHECK(world.attempts.empty());
}

// Guards against work at 34 shards, and a wait for the deadline, for an answer
// that two dead shards make impossible.
TEST_CASE("a request that dead shards make impossible is refused at once")
{
    virtual_searchers world;
    add_shards(world, 10, 2);
    const auto how = world.gathered(10, 0.9);
    for (const auto* it : {"s0-0", "s0-1", "s1-0", "s1-1"})
        world.scripts[it] = always(attempt_outcome::not_sent);
    const auto first = world.start(how, 400ms);
    world.run(500ms);
    CHECK(world.results[first].failure != forward_failure::none);
    world.attempts.clear();
    const auto second = world.start(how, 400ms);
    REQUIRE(world.results.contains(second));
    CHECK(world.took[second] == duration::zero());
    CHECK(world.attempts.empty());
    CHECK(world.results[second].failure == forward_failure::no_searcher);
    CHECK(world.results[second].execution == outcome::not_run);
    CHECK(world.results[second].retry_after >= 50ms);
    CHECK(world.results[second].retry_after <= 3100ms);
    // One of them is back.
    for (const auto& it : world.registry.of_service("s1"))
        it->on_reachable();
    world.scripts.erase("s1-0");
    world.scripts.erase("s1-1");
    const auto third = world.start(how, 400ms);
    world.run(500ms);
    CHECK(world.results[third].failure == forward_failure::none);
    CHECK(world.results[third].missing_parts == 1);
}

// Guards against answers that wait until their target for a dead shard.
TEST_CASE("an answer does not wait for a shard that is known to be down")
{
    virtual_searchers world;
    add_shards(world, 10, 2);
    const auto how = world.gathered(10, 0.9);
    warm_up(world, how);
    for (const auto& it : world.registry.of_service("s0"))
        it->on_failure(world.time.now());
    const auto id = world.start(how);
    world.run(20ms);
    REQUIRE(world.results.contains(id));
    CHECK(world.results[id].failure == forward_failure::none);
    CHECK(world.results[id].missing_parts == 1);
    CHECK(world.attempts.size() == 9);
}

// Guards against failing a whole answer because the budget of repeats is
// empty for a moment.
TEST_CASE("a retry that the budget does not allow yet is postponed")
{
    virtual_searchers world({0.0, 1.3, 1s});
    world.add("s0", "a");
    world.add("s0", "b");
    int calls = 0;
    const auto script = [&calls]
    {
        ++calls;
        const auto good = calls == 2 || calls == 4;
        return behaviour{
            good ? attempt_outcome::answered : attempt_outcome::rejected, 1ms};
    };
    world.scripts["a"] = script;
    world.scripts["b"] = script;
    const auto how = world.gathered(1, 1.0);
    const auto first = world.start(how);
    world.run(20ms);
    CHECK(world.results[first].failure == forward_failure::none);
    const auto second = world.start(how);
    world.run(20ms);
    CHECK_FALSE(world.results.contains(second));
    world.run(1500ms);
    CHECK(world.results[second].failure == forward_failure::none);
}

// A burst beyond what the searchers can take: urgent work keeps its service,
// and what is refused has not been sent.
TEST_CASE("in a burst the urgent rank is served and refusals are not run")
{
    virtual_searchers world;
    world.add("u", "one")->set_window(2);
    world.scripts["one"] = always(attempt_outcome::answered, 20ms);
    auto urgent = world.single("u", repetition::idempotent);
    urgent.name = "urgent";
    auto archive = world.single("u", repetition::idempotent);
    archive.name = "archive";
    archive.rank = 2;
    for (int i = 0; i < 40; ++i)
    {
        world.start(archive);
        world.run(25ms);
    }
    for (int i = 0; i < 40; ++i)
    {
        world.start(urgent);
        world.run(25ms);
    }
    std::set<request_handle> urgent_ids;
    std::set<request_handle> archive_ids;
    for (int i = 0; i < 200; ++i)
    {
        archive_ids.insert(world.start(archive));
        archive_ids.insert(world.start(archive));
        if (i % 4 == 0)
            urgent_ids.insert(world.start(urgent));
        world.run(10ms);
    }
    world.run(3s);
    const auto answered = [&](const std::set<request_handle>& ids)
    {
        return std::count_if(
            ids.begin(), ids.end(),
            [&](auto id)
            {
                return world.results[id].failure == forward_failure::none &&
                       world.took[id] <= 100ms;
            });
    };
    CHECK(answered(urgent_ids) >= 48);
    CHECK(answered(archive_ids) >= 100);
    for (const auto id : archive_ids)
    {
        if (world.results[id].failure != forward_failure::overloaded)
            continue;
        CHECK(world.results[id].execution == outcome::not_run);
        CHECK(world.took[id] == duration::zero());
        CHECK(world.results[id].retry_after > duration::zero());
    }
}
