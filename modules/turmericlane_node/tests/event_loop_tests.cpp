#include "../engine/event_loop.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

class counting_listener final : public event_loop_listener
{
public:
    time_point on_turn() override
    {
        return time_point::max();
    }

    void on_pause(duration) override
    {
        ++pauses;
    }

    int pauses = 0;
};

} // namespace

TEST_CASE("tasks run in order and stop runs what was posted")
{
    monotonic_clock time;
    event_loop loop(time, 1h);
    counting_listener listener;
    loop.start(listener);
    std::vector<int> order;
    for (int n = 0; n < 100; ++n)
        CHECK(loop.post([&order, n] { order.push_back(n); }));
    loop.stop();
    REQUIRE(order.size() == 100);
    for (int n = 0; n < 100; ++n)
        CHECK(order[static_cast<std::size_t>(n)] == n);
    CHECK_FALSE(loop.post([] {}));
    CHECK_FALSE(loop.call([] {}));
}

TEST_CASE("a gap between two turns is reported as a pause")
{
    manual_clock time;
    event_loop loop(time, 1s);
    counting_listener listener;
    loop.start(listener);
    REQUIRE(loop.call([&] { time.advance(5s); }));
    // The turn after the gap reports it before it runs this task.
    int seen = 0;
    REQUIRE(loop.call([&] { seen = listener.pauses; }));
    CHECK(seen == 1);
    loop.stop();
}
