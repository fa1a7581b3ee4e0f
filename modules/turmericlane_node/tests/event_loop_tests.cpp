#include "../engine/event_loop.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

class counting_listener final : public event_loop_listener
{
public:
    time_point on_iteration() override
    {
        return time_point::max();
    }

    void on_pause(duration) override
    {
        ++pause_count;
    }

    int pause_count = 0;
};

} // namespace

TEST_CASE("tasks run in order and stop runs those posted before")
{
    monotonic_clock time_source;
    event_loop loop(time_source, 1h);
    counting_listener listener;
    loop.start(listener);
    std::vector<int> order;
    for (int i = 0; i < 100; ++i)
        CHECK(loop.post([&order, i] { order.push_back(i); }));
    loop.stop();
    REQUIRE(order.size() == 100);
    for (int i = 0; i < 100; ++i)
        CHECK(order[static_cast<std::size_t>(i)] == i);
    CHECK_FALSE(loop.post([] {}));
    CHECK_FALSE(loop.run_and_wait([] {}));
}

TEST_CASE("a gap between two iterations is reported as a pause")
{
    manual_clock time_source;
    event_loop loop(time_source, 1s);
    counting_listener listener;
    loop.start(listener);
    REQUIRE(loop.run_and_wait([&] { time_source.advance(5s); }));
    // The iteration after the gap reports it before it runs this task.
    int reported_pauses = 0;
    REQUIRE(loop.run_and_wait([&] { reported_pauses = listener.pause_count; }));
    CHECK(reported_pauses == 1);
    loop.stop();
}
