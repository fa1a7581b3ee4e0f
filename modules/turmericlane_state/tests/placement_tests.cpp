#include <turmericlane_state/turmericlane_state.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t large_count = 10;
constexpr std::size_t small_count = 77;
constexpr time_point start_time{1h};

/** Returns ten instances with half of a core and 77 with about an eighth, in
    five data centres. */
std::vector<member> make_fleet()
{
    const char* data_centres[] = {"north", "south", "east", "west", "centre"};
    std::vector<member> fleet;
    for (std::size_t i = 0; i < large_count + small_count; ++i)
    {
        member instance;
        instance.nonce = i + 1;
        instance.listen_endpoint = {"10.0.0." + std::to_string(i), 1, 2};
        instance.data_centre = data_centres[i % 5];
        instance.capacity = i < large_count ? 500 : 120;
        fleet.push_back(instance);
    }
    return fleet;
}

const std::map<std::string, std::size_t> searcher_counts = {
    {"north", 38}, {"south", 38}, {"east", 38}, {"west", 3}, {"centre", 3}};

std::set<std::uint64_t> nonces(const std::vector<member>& members)
{
    std::set<std::uint64_t> result;
    for (const auto& it : members)
        result.insert(it.nonce);
    return result;
}

/** Simulates requests that arrive at random instances. Each instance handles
    one request at a time, at the speed of its processor share.
    @param work  processor time of a request on one core
    @returns the 99th percentile of the time from arrival to completion */
duration completion_time_p99(
    const std::vector<member>& instances,
    double requests_per_second,
    duration work)
{
    std::mt19937_64 random(5);
    std::exponential_distribution<double> arrival_gap(requests_per_second);
    std::vector<time_point> free_times(instances.size(), start_time);
    std::vector<duration> completion_times;
    auto now = start_time;
    while (now < start_time + 30s)
    {
        now += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(arrival_gap(random)));
        const auto i = random() % instances.size();
        const auto service_time = work * 1000 / instances[i].capacity;
        free_times[i] = std::max(free_times[i], now) + service_time;
        completion_times.push_back(free_times[i] - now);
    }
    const auto percentile =
        completion_times.begin() +
        static_cast<std::ptrdiff_t>(completion_times.size() * 99 / 100);
    std::nth_element(
        completion_times.begin(), percentile, completion_times.end());
    return *percentile;
}

} // namespace

// Guards against a request to many groups on an instance with an eighth of a
// core, where the processor work alone takes 40 ms.
TEST_CASE("the instances with the largest processor share are chosen")
{
    caller_placement placement;
    const auto chosen_instances =
        placement.choose(make_fleet(), searcher_counts, start_time);
    CHECK(chosen_instances.size() == placement_limits{}.min_instances);
    for (const auto& it : chosen_instances)
        CHECK(it.capacity == 500);
    const auto chosen_time = completion_time_p99(chosen_instances, 112.0, 5ms);
    const auto fleet_time = completion_time_p99(make_fleet(), 112.0, 5ms);
    CHECK(chosen_time <= 25ms);
    CHECK(fleet_time >= 45ms);
}

TEST_CASE("of equal instances those near many searchers are chosen first")
{
    caller_placement placement;
    const auto chosen_instances =
        placement.choose(make_fleet(), searcher_counts, start_time);
    const auto far_count = std::count_if(
        chosen_instances.begin(), chosen_instances.end(),
        [](const member& it)
        { return it.data_centre == "west" || it.data_centre == "centre"; });
    CHECK(far_count == 0);
}

// Guards against instances that each refer callers to different instances.
TEST_CASE(
    "instances choose the same ones in whatever order they know the fleet")
{
    auto fleet = make_fleet();
    std::mt19937_64 random(3);
    caller_placement placement;
    const auto expected =
        nonces(placement.choose(fleet, searcher_counts, start_time));
    for (int i = 0; i < 20; ++i)
    {
        std::shuffle(fleet.begin(), fleet.end(), random);
        caller_placement other_placement;
        CHECK(
            nonces(other_placement.choose(
                fleet, searcher_counts, start_time)) == expected);
    }
}

// Guards against a load that exceeds the capacity of the chosen instances while
// the others are idle.
TEST_CASE("more instances are chosen as the load grows")
{
    caller_placement placement;
    const auto fleet = make_fleet();
    const auto choose_at_load = [&](double total_cores)
    {
        for (std::size_t i = 0; i < large_count; ++i)
            placement.on_processor_use(
                fleet[i].nonce, total_cores / large_count, start_time);
        for (std::size_t i = large_count; i < fleet.size(); ++i)
            placement.on_processor_use(fleet[i].nonce, 0.0, start_time);
        return placement.choose(fleet, searcher_counts, start_time).size();
    };
    CHECK(choose_at_load(0.5) == placement_limits{}.min_instances);
    const auto medium_load_count = choose_at_load(1.2);
    CHECK(medium_load_count == large_count);
    const auto high_load_count = choose_at_load(2.0);
    CHECK(high_load_count > large_count);
    CHECK(high_load_count < fleet.size());
    CHECK(choose_at_load(6.0) == fleet.size());
}

// Guards against callers that move back and forth with each change of the load.
TEST_CASE("the number of chosen instances falls slowly after a burst")
{
    caller_placement placement;
    const auto fleet = make_fleet();
    auto now = start_time;
    for (const auto& it : fleet)
        placement.on_processor_use(it.nonce, 0.05, now);
    CHECK(placement.choose(fleet, searcher_counts, now).size() == fleet.size());
    now += 10s;
    for (const auto& it : fleet)
        placement.on_processor_use(it.nonce, 0.002, now);
    CHECK(
        placement.choose(fleet, searcher_counts, now).size() >
        fleet.size() / 2);
    now += 100s;
    for (const auto& it : fleet)
        placement.on_processor_use(it.nonce, 0.002, now);
    CHECK(placement.choose(fleet, searcher_counts, now).size() <= large_count);
}

TEST_CASE("all instances of a small fleet are chosen, and none of an empty one")
{
    caller_placement placement;
    auto fleet = make_fleet();
    fleet.resize(5);
    CHECK(placement.choose(fleet, searcher_counts, start_time).size() == 5);
    CHECK(placement.choose({}, searcher_counts, start_time).empty());
    CHECK(placement.choose(fleet, {}, start_time).size() == 5);
}

// Guards against an instance that uses the connections of instances that it
// cannot see for a moment.
TEST_CASE("a lower number of instances is adopted only after a delay")
{
    instance_count count(start_time);
    CHECK(count.value() == 8);
    CHECK_FALSE(count.update(1, start_time + 1s));
    CHECK(count.update(87, start_time + 4s));
    CHECK(count.value() == 87);
    CHECK_FALSE(count.update(40, start_time + 10s));
    CHECK_FALSE(count.update(40, start_time + 39s));
    CHECK_FALSE(count.update(87, start_time + 39s));
    CHECK_FALSE(count.update(40, start_time + 60s));
    CHECK(count.update(40, start_time + 91s));
    CHECK(count.value() == 40);
}

TEST_CASE("the assumed number of instances is dropped soon after the start")
{
    instance_count count(start_time);
    CHECK(count.update(2, start_time + 4s));
    CHECK(count.value() == 2);
}
