#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

#include <map>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

searcher_entry make_entry(std::string id, std::string data_centre = "north")
{
    searcher_entry result;
    result.id = std::move(id);
    result.service = "s";
    result.address = "10.0.0.1";
    result.port = 80;
    result.data_centre = std::move(data_centre);
    result.slots = 3;
    return result;
}

struct recording_listener : searcher_listener
{
    void
    searcher_added(const std::shared_ptr<searcher>& changed_searcher) override
    {
        events.push_back("+" + changed_searcher->entry().id);
    }

    void searcher_leaving(
        const std::shared_ptr<searcher>& changed_searcher,
        std::string_view) override
    {
        events.push_back("-" + changed_searcher->entry().id);
    }

    std::vector<std::string> events;
};

struct registry_fixture
{
    manual_clock time;
    recording_listener listener;
    searcher_registry registry{time, listener};
};

std::vector<std::shared_ptr<searcher>>
make_replicas(const std::vector<std::string>& data_centres, time_point now)
{
    std::vector<std::shared_ptr<searcher>> result;
    result.reserve(data_centres.size());
    for (const auto& it : data_centres)
        result.push_back(std::make_shared<searcher>(
            make_entry("r" + std::to_string(result.size()), it), now));
    return result;
}

} // namespace

// Guards against new requests to a searcher that is shutting down.
TEST_CASE_FIXTURE(registry_fixture, "a draining searcher gets no new requests")
{
    auto entry = make_entry("a");
    registry.on_entry(entry);
    CHECK(registry.service_searchers("s").size() == 1);
    entry.is_draining = true;
    registry.on_entry(entry);
    CHECK(registry.service_searchers("s").empty());
    CHECK(listener.events == std::vector<std::string>{"+a", "-a"});
}

TEST_CASE_FIXTURE(
    registry_fixture,
    "a removal takes effect at once unless removals are deferred")
{
    registry.on_entry(make_entry("a"));
    registry.on_removed("a");
    CHECK(registry.service_searchers("s").empty());
}

// Guards against the loss of all searchers because the store was unavailable.
TEST_CASE_FIXTURE(
    registry_fixture,
    "a deferred removal is dropped if the searcher is published again")
{
    registry.on_entry(make_entry("a"));
    registry.on_entry(make_entry("b"));
    registry.defer_removals(time.now() + 2s);
    registry.on_removed("a");
    registry.on_removed("b");
    CHECK(registry.service_searchers("s").size() == 2);
    registry.on_entry(make_entry("a"));
    time.advance_to(registry.next_wakeup());
    registry.on_timer();
    REQUIRE(registry.service_searchers("s").size() == 1);
    CHECK(registry.service_searchers("s").front()->entry().id == "a");
    CHECK(registry.next_wakeup() == time_point::max());
}

// Guards against repeated requests to an address that another searcher now
// uses: each of them met the limit of that searcher's service.
TEST_CASE_FIXTURE(registry_fixture, "a misdirected answer removes the searcher")
{
    registry.on_entry(make_entry("a"));
    registry.on_misdirected("a");
    CHECK(registry.service_searchers("s").empty());
}

// Guards against statistics of a former process with the same id.
TEST_CASE_FIXTURE(registry_fixture, "another incarnation is another searcher")
{
    auto entry = make_entry("a");
    entry.incarnation = 1;
    registry.on_entry(entry);
    const auto previous_searcher = registry.service_searchers("s").front();
    entry.incarnation = 2;
    registry.on_entry(entry);
    REQUIRE(registry.service_searchers("s").size() == 1);
    CHECK(registry.service_searchers("s").front() != previous_searcher);
    CHECK(previous_searcher->is_leaving());
}

TEST_CASE("an ejected searcher is used again after a connection was opened")
{
    const time_point start{1h};
    searcher tested_searcher(make_entry("a"), start);
    tested_searcher.on_failure(start);
    CHECK(tested_searcher.is_ejected());
    CHECK_FALSE(tested_searcher.is_probe_due(start));
    CHECK(tested_searcher.is_probe_due(start + 5s));
    tested_searcher.on_reachable();
    CHECK_FALSE(tested_searcher.is_ejected());
}

// Guards against ejecting a searcher for a single lost answer.
TEST_CASE("a single broken answer does not eject")
{
    const time_point start{1h};
    searcher tested_searcher(make_entry("a"), start);
    tested_searcher.on_broken_answer(start);
    tested_searcher.on_broken_answer(start);
    CHECK_FALSE(tested_searcher.is_ejected());
    tested_searcher.on_broken_answer(start);
    CHECK(tested_searcher.is_ejected());
}

TEST_CASE("no answer for longer than a pause is a failure")
{
    const time_point start{1h};
    searcher paused_searcher(make_entry("a"), start);
    paused_searcher.on_no_answer(start, start + 150ms);
    CHECK_FALSE(paused_searcher.is_ejected());
    searcher lost_searcher(make_entry("b"), start);
    lost_searcher.on_no_answer(start, start + 1s);
    CHECK(lost_searcher.is_ejected());
}

// Guards against selecting a searcher that rejects 40% of its requests as often
// as one that serves all.
TEST_CASE("a searcher that rejects requests is avoided, and tried again later")
{
    manual_clock time;
    auto replicas = make_replicas({"north", "north"}, time.now());
    for (int i = 0; i < 10; ++i)
    {
        replicas[0]->on_rejected(time.now());
        replicas[1]->on_answer(10ms, 10ms, time.now());
        time.advance(100ms);
    }
    CHECK(replicas[0]->cost(time.now()) > 3.0);
    CHECK(replicas[1]->cost(time.now()) < 1.5);
    time.advance(40s);
    CHECK(replicas[0]->cost(time.now()) < 1.5);
}

// Guards against sending requests to a paused searcher.
TEST_CASE("an overdue searcher is not selected")
{
    manual_clock time;
    const auto replicas = make_replicas({"north", "south"}, time.now());
    for (const auto& it : replicas)
        it->set_max_in_flight(4);
    replicas[0]->on_overdue(time.now());
    replica_selector selector("north", 1);
    for (int i = 0; i < 20; ++i)
        CHECK(selector.choose(replicas, {}, time.now()).target == replicas[1]);
}

TEST_CASE("a selection tells whether searchers are busy or missing")
{
    manual_clock time;
    const auto replicas = make_replicas({"north"}, time.now());
    replica_selector selector("north", 1);
    replicas[0]->set_max_in_flight(1);
    replicas[0]->on_request_sent(time.now());
    using outcome = replica_selector::outcome;
    CHECK(selector.choose(replicas, {}, time.now()).result == outcome::busy);
    replica_selector::attempt_needs needs;
    needs.tried_searchers = replicas;
    CHECK(selector.choose(replicas, needs, time.now()).result == outcome::none);
}

// Guards against more connections than a searcher accepts, with more instances
// than its limit, and right after all instances have lost power.
TEST_CASE("all instances together keep half of a searcher's connections")
{
    constexpr std::uint32_t limit = 76;
    constexpr std::uint32_t instances = 87;
    const auto replicas =
        make_replicas({"north", "south", "east"}, time_point{1h});
    const std::string data_centres[] = {
        "north", "south", "east", "west", "centre"};
    std::map<const searcher*, std::uint32_t> idle_connections;
    for (std::uint32_t i = 0; i < instances; ++i)
    {
        const auto name = "10.0.0." + std::to_string(i);
        plan_connections(
            replicas,
            share_connections(
                limit, {instances, instances, true}, replicas.size()),
            {name, data_centres[i % 5]});
        std::uint32_t own_connections = 0;
        for (const auto& it : replicas)
        {
            idle_connections[it.get()] += it->max_idle_connections();
            own_connections += it->max_idle_connections();
        }
        CHECK(own_connections >= 1);
    }
    for (const auto& it : replicas)
    {
        CHECK(idle_connections[it.get()] <= limit * 6 / 10);
        CHECK(idle_connections[it.get()] >= limit / 4);
    }
}

// Guards against more connections or extra attempts than allowed where a few
// instances do most of the work and callers still use the others.
TEST_CASE("named and other instances together stay within the limits")
{
    constexpr std::uint32_t limit = 76;
    constexpr std::uint32_t instances = 87;
    constexpr std::uint32_t named_instances = 10;
    const auto replicas =
        make_replicas({"north", "south", "east"}, time_point{1h});
    std::uint32_t total_in_flight = 0;
    std::uint32_t idle_connections = 0;
    double total_share = 0.0;
    for (std::uint32_t i = 0; i < instances; ++i)
    {
        const fleet_division fleet{
            instances, named_instances, i < named_instances};
        plan_connections(
            replicas, share_connections(limit, fleet, replicas.size()),
            {"10.0.0." + std::to_string(i), "north"});
        CHECK(replicas[0]->max_in_flight() >= 1);
        CHECK(replicas[0]->is_preferred() == fleet.is_self_named);
        total_in_flight +=
            fleet.is_self_named ? replicas[0]->max_in_flight() : 0;
        idle_connections += replicas[0]->max_idle_connections();
        total_share += own_share(fleet);
    }
    CHECK(total_in_flight <= limit * 3 / 4);
    CHECK(idle_connections <= limit / 2);
    CHECK(idle_connections >= limit / 4);
    CHECK(total_share == doctest::Approx(1.0));
}

// Guards against one more unanswered request every 160 ms at a searcher that
// hangs.
TEST_CASE("a searcher that leaves requests unanswered is avoided")
{
    manual_clock time;
    const auto replicas = make_replicas({"north", "south"}, time.now());
    for (const auto& it : replicas)
    {
        it->set_max_in_flight(4);
        it->on_answer(10ms, 10ms, time.now());
    }
    replica_selector selector("north", 1);
    replicas[0]->on_request_sent(time.now());
    time.advance(100ms);
    CHECK(selector.choose(replicas, {}, time.now()).target == replicas[0]);
    for (int i = 0; i < 10; ++i)
    {
        time.advance(100ms);
        CHECK(replicas[0]->unanswered_time(time.now()) > 160ms);
        CHECK(selector.choose(replicas, {}, time.now()).target == replicas[1]);
    }
    replicas[0]->on_answer(10ms, 10ms, time.now());
    replicas[0]->on_request_ended();
    CHECK(replicas[0]->unanswered_time(time.now()) == duration::zero());
    CHECK(selector.choose(replicas, {}, time.now()).target == replicas[0]);
}

TEST_CASE("a searcher with usually slow requests is not avoided for them")
{
    manual_clock time;
    const auto replicas = make_replicas({"north"}, time.now());
    replicas[0]->on_answer(120ms, 120ms, time.now());
    replicas[0]->on_request_sent(time.now());
    time.advance(400ms);
    CHECK(replicas[0]->cost(time.now()) < 3.0);
    time.advance(100ms);
    CHECK(replicas[0]->cost(time.now()) > 3.0);
}

// Guards against sub-requests to another data centre while an equally good
// replica is in the own one.
TEST_CASE(
    "a replica in the own data centre is preferred to a slightly faster one")
{
    manual_clock time;
    const auto replicas = make_replicas({"north", "south"}, time.now());
    for (const auto& it : replicas)
        it->set_max_in_flight(4);
    for (int i = 0; i < 20; ++i)
    {
        replicas[0]->on_answer(11ms, 10ms, time.now());
        replicas[1]->on_answer(9ms, 10ms, time.now());
    }
    replica_selector selector("north", 1);
    for (int i = 0; i < 20; ++i)
        CHECK(selector.choose(replicas, {}, time.now()).target == replicas[0]);
    for (int i = 0; i < 20; ++i)
        replicas[0]->on_answer(30ms, 10ms, time.now());
    CHECK(selector.choose(replicas, {}, time.now()).target == replicas[1]);
}

TEST_CASE("a few instances keep connections to every replica")
{
    const auto share = share_connections(31, {7, 7, true}, 3);
    CHECK(share.mean_replicas == 3.0);
    CHECK(share.max_idle == 1);
    CHECK(share.max_in_flight == 3);
}

TEST_CASE("idle connections go to the replica in the own data centre first")
{
    const auto replicas =
        make_replicas({"north", "south", "east"}, time_point{1h});
    plan_connections(replicas, {1, 1, 1.0}, {"10.0.0.9", "south"});
    CHECK(replicas[0]->max_idle_connections() == 0);
    CHECK(replicas[1]->max_idle_connections() == 1);
    CHECK(replicas[2]->max_idle_connections() == 0);
}
