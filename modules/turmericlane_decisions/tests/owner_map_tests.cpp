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

TEST_CASE("a fleet smaller than the number of candidates uses every instance")
{
    // Guards against an out-of-range access in a fleet of two.
    auto content = make_bundle(3, {1});
    content->max_instances = 2;
    CHECK(owner_map(*content).candidates({0, 0}).size() == 2);
}
