#include <turmericlane_state/turmericlane_state.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t large_instances = 10;
constexpr std::size_t small_instances = 77;
constexpr time_point start{1h};

/** Ten instances with half of a core and many with an eighth, in five data
    centres. */
std::vector<member> make_fleet()
{
    const char* data_centres[] = {"north", "south", "east", "west", "centre"};
    std::vector<member> made;
    for (std::size_t i = 0; i < large_instances + small_instances; ++i)
    {
        member it;
        it.nonce = i + 1;
        it.listen_endpoint = {"10.0.0." + std::to_string(i), 1, 2};
        it.data_centre = data_centres[i % 5];
        it.capacity = i < large_instances ? 500 : 120;
        made.push_back(it);
    }
    return made;
}

const std::map<std::string, std::size_t> searchers = {
    {"north", 38}, {"south", 38}, {"east", 38}, {"west", 3}, {"centre", 3}};

std::set<std::uint64_t> nonces(const std::vector<member>& of)
{
    std::set<std::uint64_t> made;
    for (const auto& it : of)
        made.insert(it.nonce);
    return made;
}

/** Plays requests that each need some processor time on instances chosen at
    random, one at a time on each.
    @returns the time in which 99 in 100 are worked off */
duration worked_off_in(
    const std::vector<member>& used, double requests_per_second, duration work)
{
    std::mt19937_64 random(5);
    std::exponential_distribution<double> gap(requests_per_second);
    std::vector<time_point> free_at(used.size(), start);
    std::vector<duration> took;
    auto now = start;
    while (now < start + 30s)
    {
        now += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(random)));
        const auto i = random() % used.size();
        const auto span = work * 1000 / used[i].capacity;
        free_at[i] = std::max(free_at[i], now) + span;
        took.push_back(free_at[i] - now);
    }
    const auto at =
        took.begin() + static_cast<std::ptrdiff_t>(took.size() * 99 / 100);
    std::nth_element(took.begin(), at, took.end());
    return *at;
}

} // namespace

// Guards against a fan-out on an instance that needs 40 ms of its share for
// the work alone.
TEST_CASE("the instances with the largest processor share are named")
{
    caller_placement placement;
    const auto named = placement.choose(make_fleet(), searchers, start);
    CHECK(named.size() == placement_limits{}.least_instances);
    for (const auto& it : named)
        CHECK(it.capacity == 500);
    const auto concentrated = worked_off_in(named, 112.0, 5ms);
    const auto spread = worked_off_in(make_fleet(), 112.0, 5ms);
    CHECK(concentrated <= 25ms);
    CHECK(spread >= 45ms);
}

TEST_CASE("among equals those near many searchers are named first")
{
    caller_placement placement;
    const auto named = placement.choose(make_fleet(), searchers, start);
    const auto far = std::count_if(
        named.begin(), named.end(),
        [](const member& it)
        { return it.data_centre == "west" || it.data_centre == "centre"; });
    CHECK(far == 0);
}

// Guards against callers that each instance sends elsewhere.
TEST_CASE("instances agree whatever the order in which they know the fleet")
{
    auto fleet = make_fleet();
    std::mt19937_64 random(3);
    caller_placement first;
    const auto expected = nonces(first.choose(fleet, searchers, start));
    for (int i = 0; i < 20; ++i)
    {
        std::shuffle(fleet.begin(), fleet.end(), random);
        caller_placement other;
        CHECK(nonces(other.choose(fleet, searchers, start)) == expected);
    }
}

// A load beyond what the named instances can bear: the others take part.
TEST_CASE("more instances are named as the load grows")
{
    caller_placement placement;
    const auto fleet = make_fleet();
    const auto report = [&](double cores_in_total)
    {
        for (std::size_t i = 0; i < large_instances; ++i)
            placement.on_use(
                fleet[i].nonce, cores_in_total / large_instances, start);
        for (std::size_t i = large_instances; i < fleet.size(); ++i)
            placement.on_use(fleet[i].nonce, 0.0, start);
        return placement.choose(fleet, searchers, start).size();
    };
    CHECK(report(0.5) == placement_limits{}.least_instances);
    const auto at_one = report(1.2);
    CHECK(at_one == large_instances);
    const auto at_two = report(2.0);
    CHECK(at_two > large_instances);
    CHECK(at_two < fleet.size());
    CHECK(report(6.0) == fleet.size());
}

// Guards against callers that move to and fro with each change of the load.
TEST_CASE("after a burst the choice shrinks slowly")
{
    caller_placement placement;
    const auto fleet = make_fleet();
    auto now = start;
    for (const auto& it : fleet)
        placement.on_use(it.nonce, 0.05, now);
    CHECK(placement.choose(fleet, searchers, now).size() == fleet.size());
    now += 10s;
    for (const auto& it : fleet)
        placement.on_use(it.nonce, 0.002, now);
    CHECK(placement.choose(fleet, searchers, now).size() > fleet.size() / 2);
    now += 100s;
    for (const auto& it : fleet)
        placement.on_use(it.nonce, 0.002, now);
    CHECK(placement.choose(fleet, searchers, now).size() <= large_instances);
}

TEST_CASE("a small fleet is named as a whole, and no fleet is no answer")
{
    caller_placement placement;
    auto fleet = make_fleet();
    fleet.resize(5);
    CHECK(placement.choose(fleet, searchers, start).size() == 5);
    CHECK(placement.choose({}, searchers, start).empty());
    CHECK(placement.choose(fleet, {}, start).size() == 5);
}

// Guards against an instance that takes the connections of those that it
// cannot see for a moment.
TEST_CASE("a lower number of instances is believed only after a while")
{
    instance_count count(start);
    CHECK(count.value() == 8);
    CHECK_FALSE(count.update(1, start + 1s));
    CHECK(count.update(87, start + 4s));
    CHECK(count.value() == 87);
    CHECK_FALSE(count.update(40, start + 10s));
    CHECK_FALSE(count.update(40, start + 39s));
    CHECK_FALSE(count.update(87, start + 39s));
    CHECK_FALSE(count.update(40, start + 60s));
    CHECK(count.update(40, start + 91s));
    CHECK(count.value() == 40);
}

TEST_CASE("the assumed number of instances ends with the start")
{
    instance_count count(start);
    CHECK(count.update(2, start + 4s));
    CHECK(count.value() == 2);
}
