#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

#include <map>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

searcher_entry make_entry(std::string id, std::string data_centre = "north")
{
    searcher_entry made;
    made.id = std::move(id);
    made.service = "s";
    made.address = "10.0.0.1";
    made.port = 80;
    made.data_centre = std::move(data_centre);
    made.slots = 3;
    return made;
}

struct recording_listener : searcher_listener
{
    void searcher_added(const std::shared_ptr<searcher>& which) override
    {
        events.push_back("+" + which->entry().id);
    }

    void searcher_leaving(
        const std::shared_ptr<searcher>& which, std::string_view) override
    {
        events.push_back("-" + which->entry().id);
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
    std::vector<std::shared_ptr<searcher>> made;
    made.reserve(data_centres.size());
    for (const auto& it : data_centres)
        made.push_back(std::make_shared<searcher>(
            make_entry("r" + std::to_string(made.size()), it), now));
    return made;
}

} // namespace

// Guards against new work for a searcher that has announced its end.
TEST_CASE_FIXTURE(registry_fixture, "a draining searcher gets no new work")
{
    auto entry = make_entry("a");
    registry.on_entry(entry);
    CHECK(registry.of_service("s").size() == 1);
    entry.draining = true;
    registry.on_entry(entry);
    CHECK(registry.of_service("s").empty());
    CHECK(listener.events == std::vector<std::string>{"+a", "-a"});
}

TEST_CASE_FIXTURE(registry_fixture, "a removal in calm counts at once")
{
    registry.on_entry(make_entry("a"));
    registry.on_removed("a");
    CHECK(registry.of_service("s").empty());
}

// Guards against the loss of all searchers because the store was away.
TEST_CASE_FIXTURE(
    registry_fixture, "a lapsed entry is kept until the searcher is back")
{
    registry.on_entry(make_entry("a"));
    registry.on_entry(make_entry("b"));
    registry.put_off_removals(time.now() + 2s);
    registry.on_removed("a");
    registry.on_removed("b");
    CHECK(registry.of_service("s").size() == 2);
    registry.on_entry(make_entry("a"));
    time.advance_to(registry.next_wakeup());
    registry.on_timer();
    REQUIRE(registry.of_service("s").size() == 1);
    CHECK(registry.of_service("s").front()->entry().id == "a");
    CHECK(registry.next_wakeup() == time_point::max());
}

// Guards against repeated requests to an address that another searcher has
// taken over: each one ran into the limit of that searcher's service.
TEST_CASE_FIXTURE(registry_fixture, "a misdirected answer removes the searcher")
{
    registry.on_entry(make_entry("a"));
    registry.on_misdirected("a");
    CHECK(registry.of_service("s").empty());
}

// Guards against statistics of a former process under the same id.
TEST_CASE_FIXTURE(registry_fixture, "another incarnation is another searcher")
{
    auto entry = make_entry("a");
    entry.incarnation = 1;
    registry.on_entry(entry);
    const auto before = registry.of_service("s").front();
    entry.incarnation = 2;
    registry.on_entry(entry);
    REQUIRE(registry.of_service("s").size() == 1);
    CHECK(registry.of_service("s").front() != before);
    CHECK(before->leaving());
}

TEST_CASE("an ejected searcher is back when a connection was opened")
{
    const time_point start{1h};
    searcher one(make_entry("a"), start);
    one.on_failure(start);
    CHECK(one.ejected());
    CHECK_FALSE(one.probe_due(start));
    CHECK(one.probe_due(start + 5s));
    one.on_reachable();
    CHECK_FALSE(one.ejected());
}

// Guards against taking a searcher out of use for one answer that got lost.
TEST_CASE("a single broken answer does not eject")
{
    const time_point start{1h};
    searcher one(make_entry("a"), start);
    one.on_broken(start);
    one.on_broken(start);
    CHECK_FALSE(one.ejected());
    one.on_broken(start);
    CHECK(one.ejected());
}

TEST_CASE("silence that is longer than a pause is a failure")
{
    const time_point start{1h};
    searcher paused(make_entry("a"), start);
    paused.on_silence(start, start + 150ms);
    CHECK_FALSE(paused.ejected());
    searcher lost(make_entry("b"), start);
    lost.on_silence(start, start + 1s);
    CHECK(lost.ejected());
}

// Guards against choosing a searcher that sheds 40% of its requests as often
// as one that serves all.
TEST_CASE("a searcher that sheds is avoided, and tried again later")
{
    manual_clock time;
    auto replicas = make_replicas({"north", "north"}, time.now());
    for (int i = 0; i < 10; ++i)
    {
        replicas[0]->on_shed(time.now());
        replicas[1]->on_answer(10ms, 10ms, time.now());
        time.advance(100ms);
    }
    CHECK(replicas[0]->cost(time.now()) > 3.0);
    CHECK(replicas[1]->cost(time.now()) < 1.5);
    time.advance(40s);
    CHECK(replicas[0]->cost(time.now()) < 1.5);
}

// Guards against queueing behind a paused searcher.
TEST_CASE("an overdue searcher is not chosen")
{
    manual_clock time;
    const auto replicas = make_replicas({"north", "south"}, time.now());
    for (const auto& it : replicas)
        it->set_window(4);
    replicas[0]->on_overdue(time.now());
    replica_choice choice("north", 1);
    for (int i = 0; i < 20; ++i)
        CHECK(choice.choose(replicas, {}, time.now()).target == replicas[1]);
}

TEST_CASE("a choice states whether searchers are busy or missing")
{
    manual_clock time;
    const auto replicas = make_replicas({"north"}, time.now());
    replica_choice choice("north", 1);
    replicas[0]->set_window(1);
    replicas[0]->on_start(time.now());
    using outcome = replica_choice::outcome;
    CHECK(choice.choose(replicas, {}, time.now()).result == outcome::busy);
    replica_choice::needs wanted;
    wanted.tried = replicas;
    CHECK(choice.choose(replicas, wanted, time.now()).result == outcome::none);
}

// Guards against more connections than a searcher accepts, in a fleet that is
// larger than the limit, and right after all instances have lost power.
TEST_CASE("all instances together keep half of a searcher's connections")
{
    constexpr std::uint32_t limit = 76;
    constexpr std::uint32_t instances = 87;
    const auto replicas =
        make_replicas({"north", "south", "east"}, time_point{1h});
    const std::string data_centres[] = {
        "north", "south", "east", "west", "centre"};
    std::map<const searcher*, std::uint32_t> kept;
    for (std::uint32_t i = 0; i < instances; ++i)
    {
        const auto name = "10.0.0." + std::to_string(i);
        plan_connections(
            replicas,
            share_connections(
                limit, {instances, instances, true}, replicas.size()),
            {name, data_centres[i % 5]});
        std::uint32_t own = 0;
        for (const auto& it : replicas)
        {
            kept[it.get()] += it->kept();
            own += it->kept();
        }
        CHECK(own >= 1);
    }
    for (const auto& it : replicas)
    {
        CHECK(kept[it.get()] <= limit * 6 / 10);
        CHECK(kept[it.get()] >= limit / 4);
    }
}

// Guards against more connections or repeats than allowed where a few
// instances do most of the work and callers still use the others.
TEST_CASE("named and other instances together stay within the limits")
{
    constexpr std::uint32_t limit = 76;
    constexpr std::uint32_t instances = 87;
    constexpr std::uint32_t named = 10;
    const auto replicas =
        make_replicas({"north", "south", "east"}, time_point{1h});
    std::uint32_t at_once = 0;
    std::uint32_t kept = 0;
    double parts = 0.0;
    for (std::uint32_t i = 0; i < instances; ++i)
    {
        const fleet_division fleet{instances, named, i < named};
        plan_connections(
            replicas, share_connections(limit, fleet, replicas.size()),
            {"10.0.0." + std::to_string(i), "north"});
        CHECK(replicas[0]->window() >= 1);
        CHECK(replicas[0]->preferred() == fleet.self_named);
        at_once += fleet.self_named ? replicas[0]->window() : 0;
        kept += replicas[0]->kept();
        parts += own_part(fleet);
    }
    CHECK(at_once <= limit * 3 / 4);
    CHECK(kept <= limit / 2);
    CHECK(kept >= limit / 4);
    CHECK(parts == doctest::Approx(1.0));
}

// Guards against one more stuck request every 160 ms at a searcher that hangs.
TEST_CASE("a searcher that leaves requests unanswered is avoided")
{
    manual_clock time;
    const auto replicas = make_replicas({"north", "south"}, time.now());
    for (const auto& it : replicas)
    {
        it->set_window(4);
        it->on_answer(10ms, 10ms, time.now());
    }
    replica_choice choice("north", 1);
    replicas[0]->on_start(time.now());
    time.advance(100ms);
    CHECK(choice.choose(replicas, {}, time.now()).target == replicas[0]);
    for (int i = 0; i < 10; ++i)
    {
        time.advance(100ms);
        CHECK(replicas[0]->silent_for(time.now()) > 160ms);
        CHECK(choice.choose(replicas, {}, time.now()).target == replicas[1]);
    }
    replicas[0]->on_answer(10ms, 10ms, time.now());
    replicas[0]->on_end();
    CHECK(replicas[0]->silent_for(time.now()) == duration::zero());
    CHECK(choice.choose(replicas, {}, time.now()).target == replicas[0]);
}

TEST_CASE("a request that usually takes long is not taken for silence")
{
    manual_clock time;
    const auto replicas = make_replicas({"north"}, time.now());
    replicas[0]->on_answer(120ms, 120ms, time.now());
    replicas[0]->on_start(time.now());
    time.advance(400ms);
    CHECK(replicas[0]->cost(time.now()) < 3.0);
    time.advance(100ms);
    CHECK(replicas[0]->cost(time.now()) > 3.0);
}

// Guards against sub-requests that cross data centres where a
// replica as good is near.
TEST_CASE("a near replica is preferred to a somewhat faster remote one")
{
    manual_clock time;
    const auto replicas = make_replicas({"north", "south"}, time.now());
    for (const auto& it : replicas)
        it->set_window(4);
    for (int i = 0; i < 20; ++i)
    {
        replicas[0]->on_answer(11ms, 10ms, time.now());
        replicas[1]->on_answer(9ms, 10ms, time.now());
    }
    replica_choice choice("north", 1);
    for (int i = 0; i < 20; ++i)
        CHECK(choice.choose(replicas, {}, time.now()).target == replicas[0]);
    for (int i = 0; i < 20; ++i)
        replicas[0]->on_answer(30ms, 10ms, time.now());
    CHECK(choice.choose(replicas, {}, time.now()).target == replicas[1]);
}

TEST_CASE("a small fleet keeps connections to every replica")
{
    const auto share = share_connections(31, {7, 7, true}, 3);
    CHECK(share.replicas == 3.0);
    CHECK(share.kept == 1);
    CHECK(share.window == 3);
}

TEST_CASE("the replica in the own data centre is kept first")
{
    const auto replicas =
        make_replicas({"north", "south", "east"}, time_point{1h});
    plan_connections(replicas, {1, 1, 1.0}, {"10.0.0.9", "south"});
    CHECK(replicas[0]->kept() == 0);
    CHECK(replicas[1]->kept() == 1);
    CHECK(replicas[2]->kept() == 0);
}
