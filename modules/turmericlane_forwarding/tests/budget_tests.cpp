#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace turmericlane;
using namespace std::chrono_literals;

// Guards against repeats that add to an overload: every instance wants to
// repeat every request, and no window may hold more than the limit.
TEST_CASE("instances that do not count together stay within the limit")
{
    constexpr std::uint32_t instances = 7;
    const repeat_limits limits{0.2, 54.0, 10s};
    manual_clock time;
    std::vector<std::unique_ptr<repeat_budget>> budgets;
    for (std::uint32_t i = 0; i < instances; ++i)
    {
        budgets.push_back(std::make_unique<repeat_budget>(limits, time));
        budgets.back()->set_instances(instances);
    }
    std::vector<time_point> requests;
    std::vector<time_point> repeats;
    std::mt19937_64 random(4);
    for (int i = 0; i < 8000; ++i)
    {
        time.advance(5ms);
        auto& it = *budgets[random() % instances];
        it.on_first("s");
        requests.push_back(time.now());
        if (it.try_hedge("s") || it.try_retry("s"))
            repeats.push_back(time.now());
    }
    const auto count = [](const std::vector<time_point>& all, time_point from)
    {
        return static_cast<double>(
            std::lower_bound(all.begin(), all.end(), from + 10s) -
            std::lower_bound(all.begin(), all.end(), from));
    };
    for (const auto from : repeats)
    {
        if (from + 10s > time.now())
            break;
        CHECK(count(repeats, from) <= 0.2 * count(requests, from) + 54.0);
    }
    // The limit is used, too.
    CHECK(static_cast<double>(repeats.size()) > 0.18 * 8000);
}

TEST_CASE("hedges leave a reserve for retries")
{
    manual_clock time;
    repeat_budget budget({0.2, 54.0, 10s}, time);
    budget.set_instances(7);
    for (int i = 0; i < 100; ++i)
        budget.on_first("s");
    while (budget.try_hedge("s"))
        continue;
    CHECK(budget.try_retry("s"));
}

TEST_CASE("each service has a budget of its own")
{
    manual_clock time;
    repeat_budget budget({0.2, 54.0, 10s}, time);
    budget.set_instances(1);
    while (budget.try_retry("a"))
        continue;
    CHECK(budget.try_retry("b"));
}

TEST_CASE("a hedge is sent late enough to be rare and early enough to help")
{
    hedge_timing timing;
    CHECK(timing.usual() == duration::zero());
    CHECK(timing.delay(100ms) < 100ms);
    for (int i = 0; i < 500; ++i)
        timing.on_latency(i % 25 == 0 ? 150ms : 5ms);
    CHECK(timing.delay(42ms) >= 5ms);
    CHECK(timing.delay(42ms) <= 42ms - 5ms);
}
