#include "virtual_fleet.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;

TEST_CASE("each group has distinct candidates from the bundle alone")
{
    // Guards against more owners than the connection share allows for.
    auto content = make_bundle(50, {3});
    content->max_instances = 9;
    owner_map tested(*content);
    for (std::uint32_t n = 0; n < 50; ++n)
    {
        auto found = tested.candidates({0, n});
        REQUIRE(found.size() == 3);
        std::set<ordinal> distinct(found.begin(), found.end());
        CHECK(distinct.size() == 3);
        CHECK(*distinct.rbegin() < 9);
    }
    CHECK(tested.candidates({0, 50}).empty());
    CHECK(tested.candidates({7, 0}).empty());
}

TEST_CASE("one more instance moves few groups")
{
    // Guards against a hash that moves most queues at each change of the fleet.
    auto content = make_bundle(400, {1});
    content->max_instances = 8;
    owner_map before(*content);
    content->max_instances = 9;
    owner_map after(*content, before);
    std::size_t moved = 0;
    for (std::uint32_t n = 0; n < 400; ++n)
        moved += before.candidates({0, n})[0] != after.candidates({0, n})[0];
    CHECK(moved > 0);
    CHECK(moved < 400 / 5);
}

TEST_CASE("candidates copied from an earlier map equal computed ones")
{
    // Guards against a stale copy after the number of groups has changed.
    auto content = make_bundle(5, {1, 1});
    owner_map before(*content);
    auto grown = make_bundle(7, {1, 1, 1});
    owner_map copied(*grown, before);
    owner_map computed(*grown);
    for (std::uint32_t service = 0; service < 3; ++service)
        for (std::uint32_t n = 0; n < 7; ++n)
        {
            auto a = copied.candidates({service, n});
            auto b = computed.candidates({service, n});
            CHECK(std::equal(a.begin(), a.end(), b.begin(), b.end()));
        }
}

TEST_CASE("the first candidate stands in a data centre of the searchers")
{
    // Guards against a second way between data centres for each part, and
    // against a copied row after searchers have moved.
    auto content = make_bundle(30, {1});
    content->max_instances = 9;
    owner_map by_hash(*content);
    content->ordinal_data_centres = {"a", "b", "c"};
    for (std::uint32_t n = 0; n < 30; ++n)
        content->services[0].groups[n].searchers[0].data_centre =
            std::string(1, static_cast<char>('a' + n % 3));
    owner_map first(*content, by_hash);
    for (auto& it : content->services[0].groups)
        it.searchers[0].data_centre = "b";
    owner_map moved(*content, first);
    for (std::uint32_t n = 0; n < 30; ++n)
    {
        auto found = first.candidates({0, n});
        CHECK(found[0] % 3 == n % 3);
        CHECK(std::set<ordinal>(found.begin(), found.end()).size() == 3);
        CHECK(moved.candidates({0, n})[0] % 3 == 1);
    }
    for (auto& it : content->services[0].groups)
        it.searchers[0].data_centre = "elsewhere";
    owner_map apart(*content);
    for (std::uint32_t n = 0; n < 30; ++n)
    {
        auto expected = by_hash.candidates({0, n});
        auto found = apart.candidates({0, n});
        CHECK(std::equal(
            found.begin(), found.end(), expected.begin(), expected.end()));
    }
}

TEST_CASE("a fleet smaller than the number of candidates uses every instance")
{
    // Guards against an out-of-range access in a fleet of two.
    auto content = make_bundle(3, {1});
    content->max_instances = 2;
    CHECK(owner_map(*content).candidates({0, 0}).size() == 2);
}
