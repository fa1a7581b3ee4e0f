#include "gateway_fixture.h"

#include <turmericlane_gateway/http/caller_memory.h>

#include <doctest/doctest.h>

#include <random>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

struct test_holder : caller_memory_holder
{
    explicit test_holder(caller_memory& memory)
        : claim(memory, *this)
    {
    }

    void set(std::size_t new_bytes, time_point since, bool is_in_flight = false)
    {
        bytes = new_bytes;
        claim.set(new_bytes, since, is_in_flight);
    }

    void give_up_memory() override
    {
        ++give_up_count;
        bytes = 0;
    }

    std::size_t bytes = 0;
    int give_up_count = 0;
    caller_memory_claim claim;
};

} // namespace

// Guards against ordinary callers that pay for one that holds much for long.
TEST_CASE("the holder of most bytes for the longest time gives up first")
{
    manual_clock time;
    caller_memory memory(time, 1000);
    test_holder slow(memory);
    test_holder large(memory);
    test_holder fresh(memory);
    slow.set(300, time.now());
    time.advance(5s);
    large.set(600, time.now());
    time.advance(1s);
    CHECK_FALSE(memory.is_full());
    fresh.set(200, time.now());
    CHECK(slow.give_up_count == 1);
    CHECK(large.give_up_count == 0);
    CHECK(fresh.give_up_count == 0);
    CHECK(memory.total_bytes() == 800);
}

// Guards against requests in flight that are given up, and against new ones
// that are taken beyond the limit.
TEST_CASE("requests in flight are kept, and stop new ones at the limit")
{
    manual_clock time;
    caller_memory memory(time, 1000);
    test_holder in_flight(memory);
    test_holder reading(memory);
    in_flight.set(1500, time.now(), true);
    CHECK(memory.is_full());
    reading.set(10, time.now());
    CHECK(in_flight.give_up_count == 0);
    CHECK(reading.give_up_count == 1);
    in_flight.set(0, time.now());
    CHECK_FALSE(memory.is_full());
}

// Guards against an account that drifts from what is held, or exceeds its
// limit.
TEST_CASE("the account is the sum of what is held, within the limit")
{
    constexpr std::size_t max_bytes = 100'000;
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random(seed);
        manual_clock time;
        caller_memory memory(time, max_bytes);
        std::vector<std::unique_ptr<test_holder>> holders;
        for (int step = 0; step < 2000; ++step)
        {
            time.advance(1ms);
            if (holders.size() < 50)
                holders.push_back(std::make_unique<test_holder>(memory));
            const auto choice = random() % holders.size();
            if (random() % 10 == 0)
                holders.erase(
                    holders.begin() + static_cast<std::ptrdiff_t>(choice));
            else
                holders[choice]->set(random() % 20'000, time.now());
            std::size_t sum = 0;
            for (const auto& it : holders)
                sum += it->bytes;
            CHECK(memory.total_bytes() == sum);
            CHECK(sum <= max_bytes);
        }
    }
}

// Guards against a limit that a single proper request meets.
TEST_CASE_FIXTURE(
    gateway_fixture, "the largest request inside the limits is answered")
{
    add_searcher("one", "a", signed_answer("sig", "body"));
    start(0, 1.0);
    const caller_limits limits;
    const auto body = std::string(limits.body_bytes, 'x');
    auto head = "POST /one/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 77\r\n"
                "X-Left: 5000\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n";
    // The stand-in has the same limits, and the gateway adds fields.
    constexpr std::size_t added_bytes = 200;
    while (head.size() + added_bytes < limits.header_bytes)
        head += "a: \r\n";
    standin_caller caller(loop, port);
    caller.send(head + "\r\n" + body);
    run_until(
        loop, [&] { return caller.response.has_value() || caller.has_ended; });
    REQUIRE(caller.response);
    REQUIRE(caller.response->status == 200);
    CHECK(searchers.front()->requests.front().body == body);
}

// Guards against a crowd of unused connections that keeps other callers out,
// and against the end of one that is in use.
TEST_CASE("at the limit of connections the least used one is closed")
{
    event_context loop;
    monotonic_clock time;
    struct handler : session_handler
    {
        void on_request(
            const std::shared_ptr<caller_session>& session,
            caller_request&& request) override
        {
            if (request.target == "/wait")
                waiting_session = session;
            else
                session->respond(200, {}, {});
        }

        void on_caller_left(caller_session&) override {}

        void on_bad_request(unsigned) override {}

        const caller_limits& limits() const override
        {
            return limits_;
        }

        bool is_closing() const override
        {
            return false;
        }

        std::shared_ptr<caller_session> waiting_session;
        caller_limits limits_;
    } requests;
    const auto port = next_port();
    http_listener listener(
        loop, requests, time, {std::make_shared<caller_memory>(time), 3});
    REQUIRE_FALSE(listener.listen(own_address(), port));
    const auto request = [](const std::string& target)
    { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; };
    standin_caller waiting(loop, port);
    waiting.send(request("/wait"));
    REQUIRE(
        run_until(loop, [&] { return requests.waiting_session != nullptr; }));
    standin_caller regular(loop, port);
    regular.send(request("/x"));
    REQUIRE(run_until(loop, [&] { return regular.response.has_value(); }));
    standin_caller silent(loop, port);
    REQUIRE(run_until(loop, [&] { return listener.connection_count() == 3; }));
    standin_caller next(loop, port);
    next.send(request("/x"));
    REQUIRE(run_until(loop, [&] { return next.response.has_value(); }));
    REQUIRE(run_until(loop, [&] { return silent.has_ended; }));
    CHECK_FALSE(regular.has_ended);
    CHECK_FALSE(waiting.has_ended);
    requests.waiting_session->respond(200, {}, {});
    REQUIRE(run_until(loop, [&] { return waiting.response.has_value(); }));
    listener.stop();
    listener.close_idle();
}
