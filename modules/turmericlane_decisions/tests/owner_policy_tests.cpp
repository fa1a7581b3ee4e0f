#include "virtual_fleet.h"

#include <turmericlane_decisions/owner/latency_window.h>
#include <turmericlane_decisions/owner/rank_queue.h>
#include <turmericlane_decisions/owner/replica_set.h>
#include <turmericlane_decisions/owner/token_budget.h>

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** Three servers with three slots each. */
struct replica_fixture
{
    time_point now{1h};
    std::mt19937_64 random{1};
    std::vector<std::unique_ptr<backend_server>> servers;
    replica_set tested;

    replica_fixture()
    {
        std::vector<backend_server*> all;
        for (searcher_id it = 1; it <= 3; ++it)
        {
            servers.push_back(std::make_unique<backend_server>(it));
            servers.back()->set_limits(3, 4);
            all.push_back(servers.back().get());
        }
        tested.assign(all);
    }

    void measure(std::size_t at, duration took, int times)
    {
        for (int n = 0; n < times; ++n)
        {
            now += 10ms;
            tested.on_latency(*servers[at], took, now);
        }
    }

    /** How often each server is chosen while none is busy. */
    std::array<int, 3> choices(rank work = rank::urgent)
    {
        std::array<int, 3> counts{};
        for (int n = 0; n < 300; ++n)
        {
            auto it = tested.choose({work, 0, {}}, now, random);
            if (it.server != nullptr)
                ++counts[it.server->id() - 1];
        }
        return counts;
    }
};

} // namespace

TEST_CASE("each waiting rank gets its guaranteed share of the slots")
{
    // Guards against a flood of urgent work that stops the other ranks, and
    // against shares that are kept free while nobody uses them.
    auto content = make_bundle(1, {1});
    rank_queue tested;
    tested.set_policy(*content, 100000);
    time_point now(1h);
    std::array<int, 3> served{};
    for (int n = 0; n < 20000; ++n)
    {
        for (auto it : all_ranks)
            while (tested.waiting(it) < 2)
                tested.push(it, 1);
        auto work = *tested.next(now);
        tested.pop(work, false);
        tested.charge(work, 5ms, now);
        now += 1ms;
        ++served[index_of(work)];
    }
    CHECK(served[1] >= 0.2 * 20000);
    CHECK(served[2] >= 0.1 * 20000);
    CHECK(served[0] > 0.6 * 20000);

    rank_queue lent;
    lent.set_policy(*content, 100);
    lent.push(rank::archive, 1);
    lent.charge(rank::archive, 10s, now);
    CHECK(lent.next(now) == rank::archive);
    lent.push(rank::urgent, 2);
    CHECK(lent.next(now) == rank::urgent);
}

TEST_CASE("short queues below urgent are served in order of arrival")
{
    // Guards against an order by the handles of parts, which are reused: a part
    // in an often reused position waited for all parts that came after it.
    rank_queue tested;
    tested.set_policy(bundle(), 100);
    const auto now = time_point() + 1s;
    tested.push(rank::archive, 900);
    tested.push(rank::ordinary, 5);
    CHECK(tested.next(now) == rank::archive);
    tested.pop(rank::archive, false);
    tested.push(rank::archive, 1);
    CHECK(tested.next(now) == rank::ordinary);
}

TEST_CASE("a withdrawn entry does not count")
{
    // Guards against a queue that stays full of cancelled work.
    rank_queue tested;
    tested.set_policy(*make_bundle(1, {1}), 2);
    tested.push(rank::urgent, 1);
    tested.push(rank::urgent, 2);
    CHECK(tested.full(rank::urgent));
    tested.on_withdrawn(rank::urgent);
    CHECK_FALSE(tested.full(rank::urgent));
    CHECK(tested.waiting() == 1);
    tested.pop(rank::urgent, true);
    CHECK(tested.front(rank::urgent) == 2);
}

TEST_CASE("extra attempts stay within their share")
{
    // Guards against a retry storm that multiplies an overload.
    token_budget tested(0.0, 10.0);
    int taken = 0;
    for (int n = 0; n < 1000; ++n)
    {
        tested.earn(0.02);
        taken += tested.try_take() ? 1 : 0;
    }
    CHECK(taken >= 19);
    CHECK(taken <= 20);
}

TEST_CASE("percentiles follow the recent latencies")
{
    // Guards against a hedge delay that is kept from a slower time.
    latency_window tested;
    for (int n = 1; n <= 31; ++n)
        tested.add(1ms);
    CHECK_FALSE(tested.known());
    for (int n = 1; n <= 2000; ++n)
        tested.add(std::chrono::milliseconds(n % 100 + 1));
    CHECK(tested.median() >= 45ms);
    CHECK(tested.median() <= 55ms);
    CHECK(tested.upper() >= 95ms);
    for (int n = 0; n < 600; ++n)
        tested.add(2ms);
    CHECK(tested.upper() == 2ms);
    CHECK(tested.mean() == 2ms);
}

TEST_CASE_FIXTURE(
    replica_fixture, "a slow replica with a good load report is left")
{
    // Guards against trust in a load report that misleads.
    load_report idle;
    idle.server = 3;
    servers[2]->on_load_report(idle, now);
    for (int n = 0; n < 40; ++n)
    {
        measure(0, 4ms, 1);
        measure(1, 4ms, 1);
        measure(2, 40ms, 1);
    }
    CHECK(servers[2]->ejected());
    CHECK(choices()[2] == 0);
}

TEST_CASE_FIXTURE(replica_fixture, "one slow reply does not eject a replica")
{
    // Guards against the loss of a third of a group's capacity to noise.
    measure(0, 4ms, 50);
    measure(1, 4ms, 50);
    for (int n = 0; n < 10; ++n)
    {
        measure(2, 4ms, 20);
        measure(2, 80ms, 1);
    }
    CHECK_FALSE(servers[2]->ejected());
}

TEST_CASE_FIXTURE(replica_fixture, "at most a third of the replicas is ejected")
{
    // Guards against an empty group when all replicas look bad.
    for (int n = 0; n < 20; ++n)
        for (auto& it : servers)
        {
            now += 10ms;
            tested.on_failure(*it, now);
        }
    int ejected = 0;
    for (auto& it : servers)
        ejected += it->ejected() ? 1 : 0;
    CHECK(ejected == 1);
    CHECK(tested.choose({rank::urgent, 0, {}}, now, random).server != nullptr);
}

TEST_CASE_FIXTURE(
    replica_fixture, "an ejected replica returns after good probes")
{
    // Guards against a replica that stays out for ever, probes that are a
    // flood, and a returned server that gets full load at once.
    measure(0, 4ms, 20);
    measure(1, 4ms, 20);
    for (int n = 0; n < 20; ++n, now += 10ms)
        tested.on_failure(*servers[2], now);
    REQUIRE(servers[2]->ejected());
    int probes = 0;
    while (servers[2]->ejected() && probes < 10)
    {
        now += 1100ms;
        for (std::size_t n = 0; n < 2; ++n)
        {
            servers[n]->on_start(now);
            servers[n]->on_end();
        }
        auto it = tested.choose({rank::archive, 0, {}}, now, random);
        REQUIRE(it.probe);
        servers[2]->on_probe_start();
        it.server->on_start(now);
        CHECK_FALSE(tested.choose({rank::archive, 0, {}}, now, random).probe);
        it.server->on_end();
        tested.on_probe(*servers[2], true, 4ms, now);
        ++probes;
    }
    CHECK(probes == 3);
    CHECK(servers[2]->has_room(now));
    servers[2]->on_start(now);
    CHECK_FALSE(servers[2]->has_room(now));
    CHECK(servers[2]->has_room(now + 3s));
}

TEST_CASE_FIXTURE(replica_fixture, "ejection times grow while probes fail")
{
    // Guards against probing a dead server as often after an hour as at first.
    for (int n = 0; n < 20; ++n, now += 10ms)
        tested.on_failure(*servers[2], now);
    std::vector<duration> waits;
    for (int n = 0; n < 4; ++n)
    {
        auto due = servers[2]->probe_due();
        waits.push_back(due - now);
        now = due;
        servers[2]->on_probe_start();
        tested.on_probe(*servers[2], false, 1ms, now);
    }
    CHECK(waits[1] > waits[0]);
    CHECK(waits[3] > 2 * waits[1]);
}

TEST_CASE_FIXTURE(
    replica_fixture, "equal replicas share by load with an increment")
{
    // Guards against all requests going to one server between two reports.
    for (searcher_id it = 1; it <= 3; ++it)
    {
        load_report report;
        report.server = it;
        report.load = 0.1 * it;
        servers[it - 1]->on_load_report(report, now);
    }
    std::array<int, 3> counts{};
    for (int n = 0; n < 300; ++n)
    {
        auto it = tested.choose({rank::urgent, 0, {}}, now, random);
        it.server->on_start(now);
        it.server->on_end();
        ++counts[it.server->id() - 1];
    }
    for (auto it : counts)
        CHECK(it > 60);
}

TEST_CASE_FIXTURE(
    replica_fixture, "a server of another snapshot is the last choice")
{
    // Guards against snapshot_gone while another replica has the snapshot.
    servers[0]->on_range({6, 7});
    servers[1]->on_range({6, 7});
    servers[2]->on_range({4, 5});
    for (int n = 0; n < 50; ++n)
    {
        auto it = tested.choose({rank::urgent, 5, {}}, now, random);
        CHECK(it.server->id() == 3);
    }
    auto range = tested.served(servers[0].get(), now);
    CHECK(range.oldest == 6);
    servers[2]->on_range({5, 6});
    range = tested.served(servers[0].get(), now);
    CHECK(range.oldest == 6);
    CHECK(range.newest == 6);
}

TEST_CASE_FIXTURE(
    replica_fixture, "a lagging list does not overrule a drain reply")
{
    // Guards against new work for a leaving server that the list calls live.
    servers[0]->on_drain_reply(now);
    servers[0]->on_listed(false, now + 1s);
    CHECK(servers[0]->leaving(now + 1s));
    servers[0]->on_listed(false, now + 11s);
    CHECK_FALSE(servers[0]->leaving(now + 11s));
}

TEST_CASE_FIXTURE(replica_fixture, "a costly replica is tried again")
{
    // Guards against a server that failed or was slow once, is not ejected,
    // and never gets the request that would show that it is well.
    measure(0, 4ms, 20);
    measure(1, 4ms, 20);
    measure(2, 8ms, 20);
    tested.on_failure(*servers[2], now);
    std::array<int, 3> counts{};
    for (int n = 0; n < 1000; ++n, now += 10ms)
    {
        auto it = tested.choose({rank::ordinary, 0, {}}, now, random);
        CHECK_FALSE(it.probe);
        it.server->on_start(now);
        it.server->on_end();
        ++counts[it.server->id() - 1];
    }
    CHECK(counts[2] >= 9);
    CHECK(counts[2] <= 11);
}
