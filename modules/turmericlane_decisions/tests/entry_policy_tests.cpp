#include "virtual_fleet.h"

#include <turmericlane_decisions/entry/concurrency_limiter.h>
#include <turmericlane_decisions/entry/fastest_times.h>
#include <turmericlane_decisions/entry/hit_merger.h>
#include <turmericlane_decisions/entry/snapshot_ranges.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

TEST_CASE("merged hits do not depend on the order of replies")
{
    // Guards against answers that depend on the timing of replies, and against
    // documents that are listed twice.
    std::mt19937_64 random(3);
    std::vector<std::pair<group_id, std::vector<hit>>> replies;
    for (std::uint32_t n = 0; n < 40; ++n)
    {
        std::vector<hit> hits;
        hits.reserve(10);
        for (int i = 0; i < 10; ++i)
            hits.push_back(
                {"d" + std::to_string(random() % 150),
                 static_cast<double>(random() % 20)});
        replies.push_back({{0, n}, hits});
    }
    std::vector<hit> first_result;
    for (int round = 0; round < 20; ++round)
    {
        std::shuffle(replies.begin(), replies.end(), random);
        hit_merger merger(10);
        for (const auto& it : replies)
            merger.add(it.first, it.second);
        auto merged_hits = merger.take_hits();
        REQUIRE(merged_hits.size() == 10);
        if (round == 0)
            first_result = merged_hits;
        std::set<std::string> documents;
        for (std::size_t n = 0; n < merged_hits.size(); ++n)
        {
            CHECK(merged_hits[n].document == first_result[n].document);
            CHECK(merged_hits[n].score == first_result[n].score);
            documents.insert(merged_hits[n].document);
        }
        CHECK(documents.size() == 10);
    }
}

TEST_CASE("a score that is not a number ranks last")
{
    // Guards against sorting by an order that is not total, which is undefined
    // behaviour.
    hit_merger merger(3);
    std::vector<hit> hits = {
        {"a", std::nan("")}, {"b", 1.0}, {"c", std::nan("")}, {"d", 2.0}};
    merger.add({0, 0}, hits);
    auto merged_hits = merger.take_hits();
    REQUIRE(merged_hits.size() == 3);
    CHECK(merged_hits[0].document == "d");
    CHECK(merged_hits[1].document == "b");
    CHECK(merged_hits[2].document == "a");
}

TEST_CASE("the rank limit falls once per round trip and rises only in use")
{
    // Guards against a limit that falls with each reply to a single burst, and
    // against one that grows without bound while there is no load.
    concurrency_limiter limiter;
    limiter.on_bundle(*make_bundle(1, {1}));
    time_point now(1h);
    auto initial_limit = limiter.limit(rank::urgent);
    limiter.on_congested_query(rank::urgent, now - 10ms, now);
    auto lowered_limit = limiter.limit(rank::urgent);
    CHECK(lowered_limit < initial_limit);
    limiter.on_congested_query(rank::urgent, now - 5ms, now + 1ms);
    CHECK(limiter.limit(rank::urgent) == lowered_limit);
    limiter.on_congested_query(rank::urgent, now + 1ms, now + 2ms);
    CHECK(limiter.limit(rank::urgent) < lowered_limit);
    CHECK(limiter.limit(rank::archive) == initial_limit);

    auto unused_limit = limiter.limit(rank::ordinary);
    limiter.on_uncongested_query(rank::ordinary);
    CHECK(limiter.limit(rank::ordinary) == unused_limit);
    while (limiter.try_acquire(rank::ordinary))
        continue;
    limiter.on_uncongested_query(rank::ordinary);
    CHECK(limiter.limit(rank::ordinary) > unused_limit);
}

TEST_CASE("the chosen snapshot is the newest that all known groups serve")
{
    // Guards against a snapshot that some groups have dropped already.
    auto content = make_bundle(3, {1});
    const service_map* services[] = {&content->services[0]};
    snapshot_ranges ranges;
    CHECK(ranges.choose_snapshot(services) == 0);
    ranges.on_range({0, 0}, {4, 6});
    ranges.on_range({0, 1}, {4, 5});
    ranges.on_range({0, 1}, {0, 0});
    CHECK(ranges.choose_snapshot(services) == 5);
    ranges.on_range({0, 2}, {6, 7});
    CHECK(ranges.choose_snapshot(services) == 6);
}

TEST_CASE("the fastest time of a group is forgotten")
{
    // Guards against treating a group as too slow for ever because it was slow
    // once.
    auto content = make_bundle(2, {1});
    const service_map* services[] = {&content->services[0]};
    fastest_times times;
    time_point now(1h);
    times.on_answer({0, 0}, 9ms, now);
    times.on_answer({0, 0}, 5ms, now + 1ms);
    CHECK(times.reachable_share(services, 4ms, now + 2ms) == 0.5);
    CHECK(times.reachable_share(services, 6ms, now + 2ms) == 1.0);
    CHECK(times.reachable_share(services, 4ms, now + 11s) == 1.0);
}
