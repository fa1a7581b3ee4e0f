#include <turmericlane_gateway/loop/pause_monitor.h>

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

constexpr duration period = 50ms;

} // namespace

// Guards against a shutdown that counts from the handling of its signal, and is
// killed with requests open because the platform counts from the sending.
TEST_CASE("a signal that is handled after a pause counts from its start")
{
    manual_clock time;
    pause_monitor monitor(period, time.now());
    time.advance(period);
    monitor.on_run(time.now());
    const auto pause_start = time.now();
    time.advance(1400ms);
    SUBCASE("when the signal is handled first")
    {
        CHECK(monitor.earliest_signal_time(time.now()) == pause_start);
    }
    SUBCASE("when the timer is handled first")
    {
        monitor.on_run(time.now());
        time.advance(1ms);
        CHECK(monitor.earliest_signal_time(time.now()) == pause_start);
    }
}

// Guards against a shutdown that is shortened by a pause long before it, or by
// a timer that is a little late.
TEST_CASE("a signal that is handled in time counts from its handling")
{
    manual_clock time;
    pause_monitor monitor(period, time.now());
    CHECK(monitor.earliest_signal_time(time.now()) == time.now());
    time.advance(period + 20ms);
    CHECK(monitor.earliest_signal_time(time.now()) == time.now());
    time.advance(1400ms);
    monitor.on_run(time.now());
    for (int i = 0; i < 3; ++i)
    {
        time.advance(period);
        monitor.on_run(time.now());
    }
    CHECK(monitor.earliest_signal_time(time.now()) == time.now());
}

// Guards against a stop that ends at once because the process gets the
// processor only now and then.
TEST_CASE("many short pauses do not add up")
{
    manual_clock time;
    pause_monitor monitor(period, time.now());
    for (int i = 0; i < 20; ++i)
    {
        time.advance(120ms);
        monitor.on_run(time.now());
    }
    CHECK(monitor.earliest_signal_time(time.now()) == time.now() - 120ms);
}

// Guards against a long pause that is forgotten because a short one follows it
// before the signal is handled.
TEST_CASE("pauses that follow each other count from the start of the first")
{
    manual_clock time;
    pause_monitor monitor(period, time.now());
    time.advance(period);
    monitor.on_run(time.now());
    const auto pause_start = time.now();
    time.advance(1400ms);
    monitor.on_run(time.now());
    time.advance(2 * period);
    monitor.on_run(time.now());
    CHECK(monitor.earliest_signal_time(time.now()) == pause_start);
}
