#include "gateway_fixture.h"
#include "plain_caller.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** Larger than a caller's receive buffer, smaller than what the system takes
    from the gateway at once. */
constexpr std::size_t large_body_bytes = 200000;
/** More than the gateway reads ahead of the current request. */
constexpr std::size_t pipelined_bytes = 200000;

const std::string bare_request = "GET /one/x HTTP/1.1\r\nHost: a.example\r\n"
                                 "X-Id: 77\r\nX-Left: 60000\r\n\r\n";

/** Accepts connections with a clock that the test moves. */
struct listener_fixture : session_handler
{
    listener_fixture()
        : port(next_port())
        , listener(std::make_unique<http_listener>(loop, *this, time))
    {
        REQUIRE_FALSE(listener->listen(own_address(), port));
    }

    void on_request(
        const std::shared_ptr<caller_session>& session,
        caller_request&&) override
    {
        sessions.push_back(session);
    }

    void on_caller_left(caller_session&) override
    {
        ++left_count;
    }

    void on_bad_request(unsigned) override {}

    const caller_limits& limits() const override
    {
        return limits_;
    }

    bool is_closing() const override
    {
        return false;
    }

    /** Runs the handlers that are ready. */
    void poll()
    {
        loop.restart();
        while (loop.poll() > 0)
            loop.restart();
    }

    /** Applies the timeouts after some time. */
    void pass(duration time_span)
    {
        time.advance(time_span);
        listener->sweep();
        poll();
    }

    event_context loop;
    manual_clock time;
    caller_limits limits_;
    std::uint16_t port;
    std::unique_ptr<http_listener> listener;
    std::vector<std::shared_ptr<caller_session>> sessions;
    std::size_t left_count = 0;
};

/** A gateway whose searcher holds requests until the test answers them. */
struct holding_gateway_fixture : gateway_fixture
{
    explicit holding_gateway_fixture(duration shutdown_timeout)
        : gateway_fixture(0, shutdown_timeout)
    {
        route_timeout = 60s;
        add_searcher(
            "one", "a",
            [this](
                const std::shared_ptr<caller_session>& session,
                const caller_request&) { held_session = session; });
        start(0, 1.0);
    }

    /** Sends a request and, once the searcher holds it, begins to stop. */
    void stop_beside_request(plain_caller& caller)
    {
        caller.send(bare_request);
        REQUIRE(run_until(loop, [&] { return held_session != nullptr; }));
        instance.terminate();
    }

    void answer_held_request(std::size_t body_bytes)
    {
        std::string fields;
        append_field(fields, "X-Signature", "sig");
        append_field(fields, "X-Id", "77");
        held_session->respond(200, fields, std::string(body_bytes, 'x'));
    }

    bool run_until_logged(std::string_view text)
    {
        return run_until(
            loop, [&] { return log_text().find(text) != std::string::npos; });
    }

    std::shared_ptr<caller_session> held_session;
};

constexpr auto short_shutdown = 1500ms;

} // namespace

TEST_CASE(
    "a planned stop doesn't lose an answer on its way to a caller that sends")
{
    auto process = std::make_unique<holding_gateway_fixture>(2400ms);
    plain_caller caller(process->port);
    process->stop_beside_request(caller);
    process->answer_held_request(large_body_bytes);
    // The caller begins to read late in the stop.
    REQUIRE(process->run_until_logged("draining"));
    const auto reading_start = process->time.now() + 200ms;
    while (!process->loop.stopped())
    {
        if (process->time.now() >= reading_start)
            caller.read_available();
        process->loop.run_one_for(1ms);
    }
    caller.send(bare_request);
    process.reset();
    caller.read_to_end();
    CHECK(caller.has_answer(large_body_bytes));
}

TEST_CASE("a planned stop doesn't lose an answer that its caller reads later")
{
    auto process = std::make_unique<holding_gateway_fixture>(short_shutdown);
    plain_caller caller(process->port);
    process->stop_beside_request(caller);
    process->answer_held_request(large_body_bytes);
    REQUIRE(run_until(process->loop, [&] { return process->loop.stopped(); }));
    process.reset();
    caller.read_to_end();
    CHECK(caller.has_answer(large_body_bytes));
    CHECK_FALSE(caller.was_reset);
}

TEST_CASE("a planned stop doesn't wait for a caller that has its answer")
{
    holding_gateway_fixture process(short_shutdown);
    plain_caller caller(process.port);
    process.stop_beside_request(caller);
    // Smaller than the caller's receive buffer.
    process.answer_held_request(100);
    REQUIRE(run_until(process.loop, [&] { return process.loop.stopped(); }));
    CHECK(process.log_text().find("\"cut_off\":0") != std::string::npos);
}

TEST_CASE("a planned stop ends although a caller never reads its answer")
{
    holding_gateway_fixture process(short_shutdown);
    plain_caller caller(process.port);
    process.stop_beside_request(caller);
    process.answer_held_request(large_body_bytes);
    CHECK(run_until(process.loop, [&] { return process.loop.stopped(); }));
}

TEST_CASE("a planned stop finishes a long body while its caller reads")
{
    constexpr std::size_t long_body_bytes = 12U << 20U;
    auto process = std::make_unique<holding_gateway_fixture>(short_shutdown);
    plain_caller caller(process->port);
    process->stop_beside_request(caller);
    process->answer_held_request(long_body_bytes);
    REQUIRE(process->run_until_logged("draining"));
    while (!process->loop.stopped())
    {
        caller.read_available();
        process->loop.run_one_for(1ms);
    }
    process.reset();
    caller.read_to_end();
    CHECK(caller.has_answer(long_body_bytes));
}

TEST_CASE("the last answers of a stop reach callers that pipeline")
{
    auto process = std::make_unique<holding_gateway_fixture>(short_shutdown);
    plain_caller caller(process->port);
    process->stop_beside_request(caller);
    REQUIRE(process->run_until_logged("cut_off"));
    caller.send(bare_request);
    REQUIRE(run_until(process->loop, [&] { return process->loop.stopped(); }));
    process.reset();
    caller.read_to_end();
    CHECK(caller.received.find("HTTP/1.1 502") == 0);
}

TEST_CASE("an answer isn't lost when its caller reads it after a second")
{
    auto process = std::make_unique<listener_fixture>();
    plain_caller caller(process->port);
    caller.send(bare_request);
    REQUIRE(
        run_until(process->loop, [&] { return !process->sessions.empty(); }));
    process->sessions[0]->respond(
        200, {}, std::string(large_body_bytes, 'x'), true);
    process->poll();
    process->pass(2s);
    caller.send(bare_request);
    process->poll();
    caller.read_to_end();
    CHECK(caller.has_answer(large_body_bytes));
    CHECK_FALSE(caller.was_reset);
}

TEST_CASE("an answer isn't lost because its caller has sent far ahead")
{
    auto process = std::make_unique<listener_fixture>();
    plain_caller caller(process->port);
    caller.send(bare_request);
    caller.send(std::string(pipelined_bytes, 'x'));
    REQUIRE(
        run_until(process->loop, [&] { return !process->sessions.empty(); }));
    process->poll();
    process->sessions[0]->respond(
        200, {}, std::string(large_body_bytes, 'x'), true);
    process->poll();
    process->pass(2s);
    caller.read_to_end();
    CHECK(caller.has_answer(large_body_bytes));
    CHECK_FALSE(caller.was_reset);
}

TEST_CASE("closing idle connections doesn't reset one with a request")
{
    auto process = std::make_unique<listener_fixture>();
    plain_caller caller(process->port);
    REQUIRE(run_until(
        process->loop,
        [&] { return process->listener->connection_count() == 1; }));
    caller.send(bare_request);
    SUBCASE("when the gateway drains")
    {
        process->listener->close_idle();
    }
    SUBCASE("when the connection has been idle for too long")
    {
        process->time.advance(process->limits_.idle_timeout);
        process->listener->sweep();
    }
    process->poll();
    REQUIRE(process->sessions.size() == 1);
    process->sessions[0]->respond(200, {}, "x", true);
    process->poll();
    process->pass(2s);
    caller.read_to_end();
    CHECK(caller.has_answer(1));
}

TEST_CASE("a stop doesn't end before a request that has arrived is read")
{
    listener_fixture process;
    plain_caller caller(process.port);
    REQUIRE(run_until(
        process.loop,
        [&] { return process.listener->connection_count() == 1; }));
    CHECK(process.listener->busy_count() == 0);
    caller.send(bare_request);
    CHECK(process.listener->busy_count() == 1);
}

TEST_CASE("what a caller has sent far ahead is read after its last answer")
{
    listener_fixture process;
    plain_caller caller(process.port);
    caller.send(bare_request);
    caller.send(std::string(pipelined_bytes, 'x'));
    REQUIRE(run_until(process.loop, [&] { return !process.sessions.empty(); }));
    process.poll();
    process.sessions[0]->respond(200, {}, "x", true);
    process.poll();
    CHECK(process.listener->count_sessions().discarding == 1);
    CHECK(process.listener->count_sessions().unread_bytes == 0);
}

TEST_CASE("closing idle connections doesn't lose the answer before")
{
    auto process = std::make_unique<listener_fixture>();
    plain_caller caller(process->port);
    caller.send(bare_request);
    REQUIRE(
        run_until(process->loop, [&] { return !process->sessions.empty(); }));
    process->sessions[0]->respond(200, {}, std::string(large_body_bytes, 'x'));
    process->poll();
    process->listener->close_idle();
    caller.send(bare_request);
    process->poll();
    caller.read_to_end();
    CHECK(caller.has_answer(large_body_bytes));
    CHECK_FALSE(caller.was_reset);
}

TEST_CASE("a listener that stops takes the requests that wait")
{
    auto process = std::make_unique<listener_fixture>();
    plain_caller caller(process->port);
    caller.send(bare_request);
    process->listener->stop();
    process->poll();
    process->listener->close_idle();
    REQUIRE(process->sessions.size() == 1);
    process->sessions[0]->respond(200, {}, "x", true);
    process->poll();
    process->pass(2s);
    caller.read_to_end();
    CHECK(caller.has_answer(1));
}

TEST_CASE("a caller that never reads its last answer doesn't stay connected")
{
    listener_fixture process;
    plain_caller caller(process.port);
    caller.send(bare_request);
    REQUIRE(run_until(process.loop, [&] { return !process.sessions.empty(); }));
    process.sessions[0]->respond(
        200, {}, std::string(large_body_bytes, 'x'), true);
    process.poll();
    process.pass(20s);
    CHECK(process.listener->connection_count() == 0);
}
