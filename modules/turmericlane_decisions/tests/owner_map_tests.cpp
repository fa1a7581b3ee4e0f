#include "virtual_fleet.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;

TEST_CASE("each group has distinct candidates within the ordinals")
{
    // Guards against more owners for a group than connection_share allows for.
    auto content = make_bundle(50, {3});
    content->max_instances = 9;
    owner_map owners(*content);
    for (std::uint32_t n = 0; n < 50; ++n)
    {
        auto candidates = owners.candidates({0, n});
        REQUIRE(candidates.size() == 3);
        std::set<ordinal> distinct_owners(candidates.begin(), candidates.end());
        CHECK(distinct_owners.size() == 3);
        CHECK(*distinct_owners.rbegin() < 9);
    }
    CHECK(owners.candidates({0, 50}).empty());
    CHECK(owners.candidates({7, 0}).empty());
}

TEST_CASE("one more instance changes the owner of few groups")
{
    // Guards against a hash that changes the owner of most groups when
    // max_instances changes.
    auto content = make_bundle(400, {1});
    content->max_instances = 8;
    owner_map old_map(*content);
    content->max_instances = 9;
    owner_map new_map(*content, old_map);
    std::size_t moved_groups = 0;
    for (std::uint32_t n = 0; n < 400; ++n)
        moved_groups +=
            old_map.candidates({0, n})[0] != new_map.candidates({0, n})[0];
    CHECK(moved_groups > 0);
    CHECK(moved_groups < 400 / 5);
}

TEST_CASE("candidates copied from an earlier map equal computed ones")
{
    // Guards against copying outdated candidates after the number of groups has
    // changed.
    auto content = make_bundle(5, {1, 1});
    owner_map old_map(*content);
    auto larger_content = make_bundle(7, {1, 1, 1});
    owner_map copied_map(*larger_content, old_map);
    owner_map computed_map(*larger_content);
    for (std::uint32_t service = 0; service < 3; ++service)
        for (std::uint32_t n = 0; n < 7; ++n)
        {
            auto copied = copied_map.candidates({service, n});
            auto computed = computed_map.candidates({service, n});
            CHECK(std::equal(
                copied.begin(), copied.end(), computed.begin(),
                computed.end()));
        }
}

TEST_CASE("the first candidate is in a data centre of the searchers")
{
    // Guards against two hops between data centres for each sub-request, and
    // against copying outdated candidates after searchers have moved.
    auto content = make_bundle(30, {1});
    content->max_instances = 9;
    owner_map map_without_centres(*content);
    content->ordinal_data_centres = {"a", "b", "c"};
    for (std::uint32_t n = 0; n < 30; ++n)
        content->services[0].groups[n].searchers[0].data_centre =
            std::string(1, static_cast<char>('a' + n % 3));
    owner_map map_with_centres(*content, map_without_centres);
    for (auto& it : content->services[0].groups)
        it.searchers[0].data_centre = "b";
    owner_map moved_map(*content, map_with_centres);
    for (std::uint32_t n = 0; n < 30; ++n)
    {
        auto candidates = map_with_centres.candidates({0, n});
        CHECK(candidates[0] % 3 == n % 3);
        CHECK(
            std::set<ordinal>(candidates.begin(), candidates.end()).size() ==
            3);
        CHECK(moved_map.candidates({0, n})[0] % 3 == 1);
    }
    for (auto& it : content->services[0].groups)
        it.searchers[0].data_centre = "elsewhere";
    owner_map remote_map(*content);
    for (std::uint32_t n = 0; n < 30; ++n)
    {
        auto expected = map_without_centres.candidates({0, n});
        auto candidates = remote_map.candidates({0, n});
        CHECK(std::equal(
            candidates.begin(), candidates.end(), expected.begin(),
            expected.end()));
    }
}

TEST_CASE("a fleet smaller than the number of candidates uses every instance")
{
    // Guards against an out-of-range access with two instances.
    auto content = make_bundle(3, {1});
    content->max_instances = 2;
    CHECK(owner_map(*content).candidates({0, 0}).size() == 2);
}
