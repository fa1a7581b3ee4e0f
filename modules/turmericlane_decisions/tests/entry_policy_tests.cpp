#include "virtual_fleet.h"

#include <turmericlane_decisions/entry/admission.h>
#include <turmericlane_decisions/entry/fastest_times.h>
#include <turmericlane_decisions/entry/merge.h>
#include <turmericlane_decisions/entry/snapshot_view.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

TEST_CASE("merged hits do not depend on the order of replies")
{
    // Guards against answers that change with the timing of replies, and
    // against a document that is listed twice.
    std::mt19937_64 random(3);
    std::vector<std::pair<group_id, std::vector<hit>>> replies;
    for (std::uint32_t n = 0; n < 40; ++n)
    {
        std::vector<hit> hits;
        hits.reserve(10);
        for (int k = 0; k < 10; ++k)
            hits.push_back(
                {"d" + std::to_string(random() % 150),
                 static_cast<double>(random() % 20)});
        replies.push_back({{0, n}, hits});
    }
    std::vector<hit> first;
    for (int round = 0; round < 20; ++round)
    {
        std::shuffle(replies.begin(), replies.end(), random);
        merge tested(10);
        for (const auto& it : replies)
            tested.add(it.first, it.second);
        auto got = tested.take();
        REQUIRE(got.size() == 10);
        if (round == 0)
            first = got;
        std::set<std::string> distinct;
        for (std::size_t n = 0; n < got.size(); ++n)
        {
            CHECK(got[n].document == first[n].document);
            CHECK(got[n].score == first[n].score);
            distinct.insert(got[n].document);
        }
        CHECK(distinct.size() == 10);
    }
}

TEST_CASE("a score that is not a number ranks last")
{
    // Guards against a sort with an order that is not total.
    merge tested(3);
    std::vector<hit> hits = {
        {"a", std::nan("")}, {"b", 1.0}, {"c", std::nan("")}, {"d", 2.0}};
    tested.add({0, 0}, hits);
    auto got = tested.take();
    REQUIRE(got.size() == 3);
    CHECK(got[0].document == "d");
    CHECK(got[1].document == "b");
    CHECK(got[2].document == "a");
}

TEST_CASE("the rank limit falls once per round trip and rises only in use")
{
    // Guards against a limit that collapses on the replies to one burst, and
    // against one that grows without bound while there is no load.
    admission tested;
    tested.on_bundle(*make_bundle(1, {1}));
    time_point now(1h);
    auto before = tested.limit(rank::urgent);
    tested.on_congested(rank::urgent, now - 10ms, now);
    auto once = tested.limit(rank::urgent);
    CHECK(once < before);
    tested.on_congested(rank::urgent, now - 5ms, now + 1ms);
    CHECK(tested.limit(rank::urgent) == once);
    tested.on_congested(rank::urgent, now + 1ms, now + 2ms);
    CHECK(tested.limit(rank::urgent) < once);
    CHECK(tested.limit(rank::archive) == before);

    auto idle = tested.limit(rank::ordinary);
    tested.on_uncongested(rank::ordinary);
    CHECK(tested.limit(rank::ordinary) == idle);
    while (tested.try_enter(rank::ordinary))
        continue;
    tested.on_uncongested(rank::ordinary);
    CHECK(tested.limit(rank::ordinary) > idle);
}

TEST_CASE("the pin is the newest snapshot that all known groups serve")
{
    // Guards against a pin that part of the groups has dropped already.
    auto content = make_bundle(3, {1});
    const service_map* services[] = {&content->services[0]};
    snapshot_view tested;
    CHECK(tested.pin(services) == 0);
    tested.on_range({0, 0}, {4, 6});
    tested.on_range({0, 1}, {4, 5});
    tested.on_range({0, 1}, {0, 0});
    CHECK(tested.pin(services) == 5);
    tested.on_range({0, 2}, {6, 7});
    CHECK(tested.pin(services) == 6);
}

TEST_CASE("the fastest time of a group is forgotten")
{
    // Guards against refusing a group for ever because it was slow once.
    auto content = make_bundle(2, {1});
    const service_map* services[] = {&content->services[0]};
    fastest_times tested;
    time_point now(1h);
    tested.on_answer({0, 0}, 9ms, now);
    tested.on_answer({0, 0}, 5ms, now + 1ms);
    CHECK(tested.reachable(services, 4ms, now + 2ms) == 0.5);
    CHECK(tested.reachable(services, 6ms, now + 2ms) == 1.0);
    CHECK(tested.reachable(services, 4ms, now + 11s) == 1.0);
}
