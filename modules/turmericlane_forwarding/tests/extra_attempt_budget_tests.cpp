#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace turmericlane;
using namespace std::chrono_literals;

// Guards against extra attempts that add to an overload: every instance tries
// to hedge or retry every request, and no window may hold more than the limit.
TEST_CASE("instances that exchange no counts stay within the limit together")
{
    constexpr std::uint32_t instance_count = 7;
    const extra_attempt_limits limits{0.2, 54.0, 10s};
    manual_clock time;
    std::vector<std::unique_ptr<extra_attempt_budget>> budgets;
    for (std::uint32_t i = 0; i < instance_count; ++i)
    {
        budgets.push_back(std::make_unique<extra_attempt_budget>(limits, time));
        budgets.back()->set_instances(instance_count);
    }
    std::vector<time_point> requests;
    std::vector<time_point> extra_attempts;
    std::mt19937_64 random(4);
    for (int i = 0; i < 8000; ++i)
    {
        time.advance(5ms);
        auto& it = *budgets[random() % instance_count];
        it.on_first_attempt("s");
        requests.push_back(time.now());
        if (it.try_take_hedge("s") || it.try_take_retry("s"))
            extra_attempts.push_back(time.now());
    }
    const auto count_in_window =
        [](const std::vector<time_point>& times, time_point window_start)
    {
        return static_cast<double>(
            std::lower_bound(times.begin(), times.end(), window_start + 10s) -
            std::lower_bound(times.begin(), times.end(), window_start));
    };
    for (const auto window_start : extra_attempts)
    {
        if (window_start + 10s > time.now())
            break;
        CHECK(
            count_in_window(extra_attempts, window_start) <=
            0.2 * count_in_window(requests, window_start) + 54.0);
    }
    // Most of the limit is used.
    CHECK(static_cast<double>(extra_attempts.size()) > 0.18 * 8000);
}

TEST_CASE("hedges leave a reserve for retries")
{
    manual_clock time;
    extra_attempt_budget budget({0.2, 54.0, 10s}, time);
    budget.set_instances(7);
    for (int i = 0; i < 100; ++i)
        budget.on_first_attempt("s");
    while (budget.try_take_hedge("s"))
        continue;
    CHECK(budget.try_take_retry("s"));
}

TEST_CASE("each service has a budget of its own")
{
    manual_clock time;
    extra_attempt_budget budget({0.2, 54.0, 10s}, time);
    budget.set_instances(1);
    while (budget.try_take_retry("a"))
        continue;
    CHECK(budget.try_take_retry("b"));
}

TEST_CASE("the hedge delay is rarely exceeded and leaves time for the hedge")
{
    hedge_timing timing;
    CHECK(timing.median_latency() == duration::zero());
    CHECK(timing.hedge_delay(100ms) < 100ms);
    for (int i = 0; i < 500; ++i)
        timing.on_latency(i % 25 == 0 ? 150ms : 5ms);
    CHECK(timing.hedge_delay(42ms) >= 5ms);
    CHECK(timing.hedge_delay(42ms) <= 42ms - 5ms);
}
