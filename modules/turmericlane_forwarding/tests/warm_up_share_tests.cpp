#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

using nonces = std::vector<std::uint64_t>;
using fleet_view = warm_up_share::fleet_view;

constexpr time_point start = time_point(1000s);
constexpr double overage = 1.5;
constexpr double slack = 5.0;

nonces make_fleet(std::size_t size)
{
    nonces result(size);
    std::iota(result.begin(), result.end(), 1);
    return result;
}

fleet_view make_view(const nonces& members, std::size_t expected_count = 0)
{
    return {members, members.size(), std::max(members.size(), expected_count)};
}

double rate_of(const warm_up_limit& value)
{
    return value.max_requests /
           std::chrono::duration<double>(value.window).count();
}

/** Reports the same view at the usual interval. */
void settle(
    warm_up_share& share,
    const fleet_view& view,
    time_point begin,
    duration time_span)
{
    for (auto now = begin; now <= begin + time_span; now += 500ms)
        share.on_fleet(view, now);
}

/** Returns the requests in a second that instances with the given, settled
    views may send to a searcher. */
double
sum_of_rates(const std::vector<fleet_view>& views, double rate, int searcher)
{
    double sum = 0.0;
    for (std::size_t i = 0; i < views.size(); ++i)
    {
        warm_up_share share(i + 1);
        settle(share, views[i], start, 5s);
        sum += rate_of(
            share.limit("s" + std::to_string(searcher), rate, start + 5s));
    }
    return sum;
}

} // namespace

// Guards against shares that exceed the rate, and against rates of which a part
// is never used.
TEST_CASE("instances with the same view divide the rate")
{
    for (const std::size_t size : {1, 2, 5, 6, 7, 20, 74})
    {
        const std::vector<fleet_view> views(size, make_view(make_fleet(size)));
        for (const auto rate : {0.25, 0.9, 1.0, 2.5, 6.0, 11.0, 40.0, 250.0})
        {
            CAPTURE(size);
            CAPTURE(rate);
            const auto used_rate = rate < 1.0 ? rate : std::floor(rate);
            for (int i = 0; i < 20; ++i)
                CHECK(
                    sum_of_rates(views, rate, i) == doctest::Approx(used_rate));
        }
    }
}

// Guards against one instance that is selected for all searchers.
TEST_CASE("a rate below the number of instances is spread by searcher")
{
    const auto view = make_view(make_fleet(6));
    for (std::uint64_t instance = 1; instance <= 6; ++instance)
    {
        warm_up_share share(instance);
        settle(share, view, start, 5s);
        int count = 0;
        for (int i = 0; i < 600; ++i)
            count += static_cast<int>(
                share.limit("s" + std::to_string(i), 1.0, start + 5s)
                    .max_requests);
        CHECK(count > 60);
        CHECK(count < 140);
    }
}

// Guards against an instance that uses a share before the others have given it
// up, and against one that keeps a share that it has lost.
TEST_CASE("a smaller share counts at once and a larger one after a delay")
{
    auto fleet = make_fleet(12);
    warm_up_share gaining(7);
    warm_up_share losing(1);
    settle(gaining, make_view(fleet), start, 5s);
    settle(losing, make_view(fleet), start, 5s);
    auto now = start + 5s;
    CHECK(gaining.state(now) == warm_up_state::not_chosen);
    CHECK(losing.state(now) == warm_up_state::sharing);
    CHECK(losing.limit("s", 6.0, now).max_requests == 1);
    std::rotate(fleet.begin(), fleet.begin() + 1, fleet.end());
    gaining.on_fleet(make_view(fleet), now);
    losing.on_fleet(make_view(fleet), now);
    CHECK(losing.limit("s", 6.0, now).max_requests == 0);
    CHECK(gaining.state(now) == warm_up_state::unsettled);
    settle(gaining, make_view(fleet), now, 2500ms);
    CHECK(gaining.limit("s", 6.0, now + 2900ms).max_requests == 0);
    gaining.on_fleet(make_view(fleet), now + 3s);
    CHECK(gaining.limit("s", 6.0, now + 3s).max_requests == 1);
    CHECK(gaining.state(now + 3s) == warm_up_state::sharing);
}

// Guards against shares from a view of the fleet that is not complete yet or no
// longer holds.
TEST_CASE("an instance without a settled view has no share")
{
    warm_up_share share(1);
    CHECK(share.limit("s", 60.0, start).max_requests == 0);
    share.on_fleet(make_view(make_fleet(1), 8), start);
    CHECK(share.state(start) == warm_up_state::minority);
    CHECK(share.limit("s", 60.0, start).max_requests == 0);
    settle(share, make_view(make_fleet(8)), start + 500ms, 2s);
    CHECK(share.limit("s", 60.0, start + 2500ms).max_requests == 0);
    settle(share, make_view(make_fleet(8)), start + 3s, 1s);
    CHECK(share.limit("s", 60.0, start + 4s).max_requests == 10);
    SUBCASE("the fleet changes a lot")
    {
        share.on_fleet(make_view(make_fleet(12)), start + 4s);
        CHECK(share.limit("s", 60.0, start + 4s).max_requests == 0);
        CHECK(share.state(start + 4s) == warm_up_state::unsettled);
    }
    SUBCASE("the process was paused")
    {
        CHECK(share.limit("s", 60.0, start + 10s).max_requests == 0);
        share.on_fleet(make_view(make_fleet(8)), start + 10s);
        CHECK(share.limit("s", 60.0, start + 10s).max_requests == 0);
    }
}

// Guards against a side of a partition that uses the share of the others, soon
// after the cut and once the other instances no longer count as running.
TEST_CASE("the sides of a partition use no more than the overage together")
{
    constexpr std::size_t size = 30;
    constexpr double rate = 60.0;
    const auto fleet = make_fleet(size);
    for (std::size_t cut = 1; cut < size; ++cut)
    {
        CAPTURE(cut);
        const nonces left(fleet.begin(), fleet.begin() + cut);
        const nonces right(fleet.begin() + cut, fleet.end());
        std::vector<warm_up_share> shares;
        for (const auto it : fleet)
        {
            shares.emplace_back(it);
            settle(shares.back(), make_view(fleet), start, 5s);
        }
        for (auto after = 0ms; after <= 60s; after += 500ms)
        {
            const auto now = start + 5s + after;
            // The count that instance_count keeps for 30 s.
            const auto expected_count = after < 30s ? size : 0;
            double sum = 0.0;
            for (std::size_t i = 0; i < size; ++i)
            {
                const auto& side = i < cut ? left : right;
                shares[i].on_fleet(make_view(side, expected_count), now);
                sum += rate_of(shares[i].limit("s", rate, now));
            }
            CHECK(sum <= rate * overage + slack);
            // Warm-up goes on once the views have settled.
            if (after > 35s)
                CHECK(sum >= rate / 2);
        }
    }
}

// Guards against shares that add up to more than the bound while instances
// disagree for long about up to three members.
TEST_CASE("settled views that differ by three members stay within the bound")
{
    const std::uint64_t seed = 20261207;
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    double worst_ratio = 0.0;
    for (int round = 0; round < 400; ++round)
    {
        const auto size = std::size_t{9} + random() % 30;
        const auto fleet = make_fleet(size);
        std::vector<fleet_view> views;
        for (std::size_t i = 0; i < size; ++i)
        {
            auto seen = fleet;
            for (int k = 0; k < 3; ++k)
            {
                // The first members matter most.
                const auto missing = 1 + random() % 9;
                if (missing != i + 1)
                    std::erase(seen, missing);
            }
            views.push_back(make_view(seen, size));
        }
        for (const auto rate : {0.5, 1.0, 4.0, 6.0, 9.0, 30.0, 100.0})
        {
            const auto sum = sum_of_rates(views, rate, round);
            CAPTURE(size);
            CAPTURE(rate);
            CHECK(sum <= rate * overage + slack);
            worst_ratio = std::max(worst_ratio, sum / (rate * overage + slack));
        }
    }
    MESSAGE("largest share of the bound in use: ", worst_ratio);
}
