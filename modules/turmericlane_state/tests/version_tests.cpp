#include <turmericlane_state/turmericlane_state.h>

#include <doctest/doctest.h>

using namespace turmericlane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class spread_recorder final : public version_spread_actions
{
public:
    std::vector<std::uint64_t> sample(std::size_t count) override
    {
        std::vector<std::uint64_t> made;
        for (std::uint64_t n = 1; n <= count; ++n)
            made.push_back(n);
        return made;
    }

    void push(std::uint64_t peer, std::uint64_t) override
    {
        pushed.push_back(peer);
    }

    void request(std::uint64_t peer, std::uint64_t) override
    {
        requested.push_back(peer);
    }

    std::vector<std::uint64_t> pushed;
    std::vector<std::uint64_t> requested;
};

struct spread
{
    manual_clock time;
    spread_recorder actions;
    version_spread tested{{}, 1, time, actions};
};

class read_recorder final : public platform_actions
{
public:
    void read(std::uint64_t, duration wait) override
    {
        ++reads;
        last_wait = wait;
    }

    std::size_t reads = 0;
    duration last_wait{};
};

class shutdown_recorder final : public shutdown_actions
{
public:
    void leave() override
    {
        journal += "leave ";
    }

    void drain() override
    {
        journal += "drain ";
    }

    void stop(std::size_t cut_off) override
    {
        journal += "stop " + std::to_string(cut_off);
    }

    std::string journal;
};

} // namespace

TEST_CASE("a new version goes to three peers, but not back to its sender")
{
    spread it;
    it.tested.on_version_in_force(5, 2);
    CHECK(it.actions.pushed == std::vector<std::uint64_t>{1, 3, 4});
    it.tested.on_version_in_force(5, 1);
    it.tested.on_version_in_force(4, 1);
    CHECK(it.actions.pushed.size() == 3);
    CHECK(it.tested.version_in_force() == 5);
}

TEST_CASE("a higher version is asked for once, and after silence of another")
{
    spread it;
    it.tested.on_version_seen(7, 5);
    it.tested.on_version_seen(8, 5);
    CHECK(it.actions.requested == std::vector<std::uint64_t>{7});
    it.time.advance_to(it.tested.next_wakeup());
    it.tested.on_timer();
    CHECK(it.actions.requested.size() == 1);
    it.time.advance_to(it.tested.next_wakeup());
    it.tested.on_timer();
    CHECK(it.actions.requested == std::vector<std::uint64_t>{7, 8});
}

TEST_CASE("a peer with a refused bundle is not asked in a loop")
{
    spread it;
    it.tested.on_version_seen(7, 5);
    it.tested.on_bundle_refused(7, 5);
    for (int n = 0; n < 100; ++n)
    {
        it.time.advance(seconds(20));
        it.tested.on_version_seen(7, 5);
        it.tested.on_timer();
    }
    CHECK(it.actions.requested.size() == 1);
    it.tested.on_version_seen(7, 6);
    CHECK(it.actions.requested.size() == 2);
}

TEST_CASE("a version that comes from elsewhere makes the silence of the peer "
          "that was asked no failure")
{
    spread it;
    it.tested.on_version_seen(7, 5);
    it.tested.on_version_in_force(5, 8);
    CHECK(it.tested.next_wakeup() == time_point::max());
    it.tested.on_version_seen(9, 6);
    CHECK(it.actions.requested == std::vector<std::uint64_t>{7, 9});
}

TEST_CASE("a platform that is down is read ever less often, with jitter")
{
    manual_clock time;
    read_recorder actions;
    platform_reader tested({}, 3, time, actions);
    platform_reader other({}, 4, time, actions);
    tested.set_watching(true);
    std::vector<duration> delays;
    for (int n = 0; n < 12; ++n)
    {
        tested.on_failure();
        auto next = tested.next_wakeup();
        delays.push_back(next - time.now());
        time.advance_to(next);
        tested.on_timer();
    }
    CHECK(actions.reads == 13);
    CHECK(delays.front() >= milliseconds(100));
    CHECK(delays.front() <= milliseconds(500));
    CHECK(delays.back() >= seconds(15));
    CHECK(delays.back() <= seconds(30));
    CHECK(delays[10] != delays[11]);
    CHECK(tested.failures() == 12);
    CHECK_FALSE(tested.time_since_answer());
}

TEST_CASE("a platform that answers every long poll at once is not flooded")
{
    manual_clock time;
    read_recorder actions;
    platform_reader tested({}, 3, time, actions);
    tested.set_watching(true);
    auto end = time.now() + seconds(60);
    while (time.now() < end)
    {
        if (tested.next_wakeup() == time_point::max())
            tested.on_answer();
        if (tested.next_wakeup() != time_point::max())
            time.advance_to(std::max(time.now(), tested.next_wakeup()));
        tested.on_timer();
    }
    CHECK(actions.reads <= 2 * 60 + 4);
    CHECK(actions.reads >= 2 * 60 - 2);
}

TEST_CASE("an instance that is no reader reads once, until that succeeds")
{
    manual_clock time;
    read_recorder actions;
    platform_reader tested({}, 3, time, actions);
    tested.read_once();
    CHECK(actions.last_wait == duration::zero());
    tested.on_failure();
    time.advance_to(tested.next_wakeup());
    tested.on_timer();
    CHECK(actions.reads == 2);
    tested.on_answer();
    time.advance(seconds(100));
    tested.on_timer();
    CHECK(actions.reads == 2);
    CHECK(tested.time_since_answer() == seconds(100));
}

TEST_CASE("an instance does not serve an old version that a peer knows better")
{
    manual_clock time;
    startup_gate tested(seconds(5), time);
    tested.on_version_in_force(3);
    tested.on_platform_answer(0);
    CHECK(tested.refusal_reason() == reason::instance_starting);
    tested.on_peer_answer(4);
    CHECK_FALSE(tested.is_serving());
    tested.on_version_in_force(4);
    CHECK(tested.is_serving());
    CHECK(tested.is_version_confirmed());
    tested.on_peer_answer(9);
    CHECK(tested.is_serving());
}

TEST_CASE("without any answer an instance serves late and unconfirmed")
{
    manual_clock time;
    startup_gate tested(seconds(5), time);
    tested.on_platform_failure();
    tested.on_peer_answer(0);
    time.advance_to(tested.next_wakeup());
    CHECK(tested.refusal_reason() == reason::no_bundle);
    tested.on_version_in_force(3);
    CHECK(tested.is_serving());
    CHECK_FALSE(tested.is_version_confirmed());
    tested.on_peer_answer(3);
    CHECK(tested.is_version_confirmed());
    tested.on_pause();
    CHECK_FALSE(tested.is_serving());
    CHECK_FALSE(tested.is_version_confirmed());
}

TEST_CASE("an instance alone in its fleet needs the platform only")
{
    manual_clock time;
    startup_gate tested(seconds(5), time);
    tested.on_peer_count(0);
    tested.on_platform_answer(2);
    CHECK_FALSE(tested.is_serving());
    tested.on_version_in_force(2);
    CHECK(tested.is_version_confirmed());
}

TEST_CASE("a shutdown waits for cached answers and for requests in flight")
{
    manual_clock time;
    shutdown_recorder actions;
    shutdown_sequence tested({}, time, actions);
    tested.on_termination_signal();
    tested.on_in_flight_count(0);
    CHECK(tested.phase() == shutdown_phase::leaving);
    time.advance_to(tested.next_wakeup());
    tested.on_timer();
    CHECK(tested.phase() == shutdown_phase::draining);
    tested.on_in_flight_count(3);
    tested.on_in_flight_count(0);
    tested.on_timer();
    CHECK(actions.journal == "leave drain stop 0");
    CHECK(tested.next_wakeup() == time_point::max());
}

TEST_CASE("a shutdown ends at its limit or at the second signal, and says how "
          "many requests were cut off")
{
    for (bool second_signal : {false, true})
    {
        manual_clock time;
        shutdown_recorder actions;
        shutdown_sequence tested({}, time, actions);
        tested.on_termination_signal();
        tested.on_in_flight_count(7);
        if (second_signal)
        {
            tested.on_termination_signal();
            CHECK(actions.journal == "leave stop 7");
            continue;
        }
        time.advance_to(tested.next_wakeup());
        tested.on_timer();
        time.advance_to(tested.next_wakeup());
        tested.on_timer();
        CHECK(actions.journal == "leave drain stop 7");
    }
}
