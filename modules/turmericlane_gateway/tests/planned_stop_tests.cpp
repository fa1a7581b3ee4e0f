#include "gateway_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** A caller that sends one request after the other, and opens a new connection
    when the gateway has closed the former one. */
class steady_caller
{
public:
    steady_caller(gateway_fixture& fixture, std::size_t number)
        : fixture_(fixture)
        , number_(number)
    {
        open();
    }

    /** Handles what has happened since the last call. */
    void step()
    {
        if (connection_->response)
        {
            ++(connection_->response->status == 200 ? answered : refused);
            const auto is_kept = connection_->response->keep_alive;
            connection_->response.reset();
            if (is_stopping)
                is_done = true;
            else if (is_kept)
                send();
            else
                open();
        }
        else if (connection_->has_ended)
        {
            // The connection was refused, or its request was not read.
            ++unread;
            is_done = is_stopping;
            if (!is_done)
                open();
        }
    }

    int answered = 0;
    int refused = 0;
    int unread = 0;
    bool is_stopping = false;
    bool is_done = false;

private:
    void open()
    {
        connection_ =
            std::make_unique<standin_caller>(fixture_.loop, fixture_.port);
        send();
    }

    void send()
    {
        connection_->send(
            "GET /one/x HTTP/1.1\r\nHost: a.example\r\nX-Id: " +
            std::to_string(number_) + "." + std::to_string(++request_number_) +
            "\r\nX-Left: 60000\r\n\r\n");
    }

    gateway_fixture& fixture_;
    std::size_t number_;
    int request_number_ = 0;
    std::unique_ptr<standin_caller> connection_;
};

/** Returns a script that keeps the session of a request open. */
standin_searcher::script
hold_request(std::shared_ptr<caller_session>& held_session)
{
    return [&held_session](
               const std::shared_ptr<caller_session>& session,
               const caller_request&) { held_session = session; };
}

/** Answers the request that gateway_fixture::request_text returns. */
void answer_held_request(caller_session& held_session)
{
    std::string fields;
    append_field(fields, "X-Signature", "sig");
    append_field(fields, "X-Id", "77");
    held_session.respond(200, fields, "done");
}

struct stopping_gateway_fixture : gateway_fixture
{
    stopping_gateway_fixture()
        : gateway_fixture(0, 1500ms)
    {
    }
};

} // namespace

// Guards against requests that are cut off without an answer although the
// gateway has read them and passed them on.
TEST_CASE_FIXTURE(
    stopping_gateway_fixture,
    "a planned stop under load answers every request that it passed on")
{
    std::size_t received = 0;
    std::vector<std::unique_ptr<loop_timer>> timers;
    add_searcher(
        "one", "a",
        [&](const std::shared_ptr<caller_session>& session,
            const caller_request& request)
        {
            ++received;
            std::string fields;
            append_field(fields, "X-Signature", "sig");
            append_field(fields, "X-Id", field(request.fields, "X-Id"));
            auto& timer = *timers.emplace_back(
                std::make_unique<loop_timer>(loop.get_executor()));
            timer.expires_after(20ms);
            timer.async_wait(
                [session, fields](boost::system::error_code ec)
                {
                    if (!ec)
                        session->respond(200, fields, "x");
                });
        });
    // No request reaches its deadline, however slow the machine is.
    route_timeout = 60s;
    start(0, 1.0);
    std::vector<std::unique_ptr<steady_caller>> callers;
    for (std::size_t i = 0; i < 40; ++i)
        callers.push_back(std::make_unique<steady_caller>(*this, i));
    const auto step_all = [&]
    {
        for (const auto& it : callers)
            it->step();
    };
    constexpr std::size_t load_before_stop = 200;
    auto is_terminated = false;
    REQUIRE(run_until(
        loop,
        [&]
        {
            step_all();
            if (!is_terminated && received >= load_before_stop)
            {
                instance.terminate();
                is_terminated = true;
            }
            return is_terminated && loop.stopped();
        }));
    for (const auto& it : callers)
        it->is_stopping = true;
    run_until(
        loop,
        [&]
        {
            step_all();
            return std::all_of(
                callers.begin(), callers.end(),
                [](const auto& it) { return it->is_done; });
        });
    std::size_t answered = 0;
    for (const auto& it : callers)
        answered += static_cast<std::size_t>(it->answered);
    CHECK(received > load_before_stop);
    CHECK(answered == received);
    CHECK(log_text().find("\"cut_off\":0") != std::string::npos);
}

// Guards against requests that are cut off without an answer because they last
// longer than the rest of the shutdown.
TEST_CASE_FIXTURE(
    stopping_gateway_fixture,
    "a planned stop answers the requests that it cannot finish")
{
    single_route_semantics = execution_semantics::at_most_once;
    // No request reaches its deadline, however slow the machine is.
    route_timeout = 60s;
    auto& silent_searcher = add_searcher(
        "one", "a",
        [](const std::shared_ptr<caller_session>&, const caller_request&) {});
    start(0, 1.0);
    // More than the searcher gets at a time; the rest waits in the gateway.
    constexpr std::size_t caller_count = 20;
    std::vector<std::unique_ptr<standin_caller>> callers;
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        callers.push_back(std::make_unique<standin_caller>(loop, port));
        callers.back()->send(
            "POST /one/x HTTP/1.1\r\nHost: a.example\r\nX-Id: " +
            std::to_string(i) + "\r\nContent-Length: 0\r\n\r\n");
    }
    REQUIRE(run_until(loop, [&] { return !silent_searcher.requests.empty(); }));
    instance.terminate();
    REQUIRE(run_until(loop, [&] { return loop.stopped(); }));
    run_until(
        loop,
        [&]
        {
            return std::all_of(
                callers.begin(), callers.end(),
                [](const auto& it) { return it->response || it->has_ended; });
        });
    std::size_t failed = 0;
    std::size_t refused = 0;
    for (const auto& it : callers)
    {
        REQUIRE(it->response);
        CHECK_FALSE(it->response->keep_alive);
        failed += it->response->status == 502 ? 1 : 0;
        refused += it->response->status == 503 ? 1 : 0;
    }
    CHECK(failed == silent_searcher.requests.size());
    CHECK(refused == callers.size() - failed);
    CHECK(
        log_text().find("\"cut_off\":" + std::to_string(caller_count)) !=
        std::string::npos);
}

// Guards against requests that are accepted late in a shutdown and then cut
// off.
TEST_CASE_FIXTURE(
    stopping_gateway_fixture,
    "a stopping instance refuses what it is not expected to finish")
{
    auto& searcher = add_searcher("one", "a", signed_answer("sig.a", "x"));
    // Longer than the shutdown.
    route_timeout = 60s;
    target_latency = 20s;
    start(0, 1.0);
    standin_caller caller(loop, port);
    caller.send("GET /one/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n");
    REQUIRE(run_until(loop, [&] { return caller.response.has_value(); }));
    CHECK(caller.response->status == 200);
    instance.terminate();
    caller.response.reset();
    caller.send("GET /one/x HTTP/1.1\r\nHost: a.example\r\nX-Id: 2\r\n\r\n");
    REQUIRE(run_until(loop, [&] { return caller.response.has_value(); }));
    CHECK(caller.response->status == 503);
    CHECK_FALSE(caller.response->keep_alive);
    CHECK_FALSE(field(caller.response->fields, "Retry-After").empty());
    CHECK(searcher.requests.size() == 1);
}

// Guards against requests that are cut off because the platform sends SIGTERM
// more than once.
TEST_CASE_FIXTURE(
    gateway_fixture, "a repeated termination signal cuts nothing off")
{
    std::shared_ptr<caller_session> working_session;
    add_searcher("one", "a", hold_request(working_session));
    start(0, 1.0);
    standin_caller caller(loop, port);
    caller.send(request_text("/one/x"));
    REQUIRE(run_until(loop, [&] { return working_session != nullptr; }));
    for (int i = 0; i < 3; ++i)
        instance.terminate();
    CHECK_FALSE(loop.stopped());
    answer_held_request(*working_session);
    REQUIRE(run_until(loop, [&] { return caller.response.has_value(); }));
    CHECK(caller.response->status == 200);
    CHECK(caller.response->body == "done");
}

// Guards against running work that is started again, or given up, because its
// searcher's entry lapsed: a silent machine may still be working.
TEST_CASE_FIXTURE(
    gateway_fixture, "work that runs goes on when its searcher's entry lapses")
{
    std::shared_ptr<caller_session> working_session;
    auto& working = add_searcher("one", "a", hold_request(working_session));
    start(0, 1.0);
    standin_caller caller(loop, port);
    caller.send(request_text("/one/x"));
    REQUIRE(run_until(loop, [&] { return working_session != nullptr; }));
    store.changes["servers/a"] = searcher_removal{"a"};
    store_answer change;
    change.revision = 20;
    change.items = {{"servers/a", 20, std::nullopt}};
    instance.on_store_answer(std::move(change));
    run_for(200ms);
    CHECK_FALSE(caller.response);
    CHECK_FALSE(caller.has_ended);
    answer_held_request(*working_session);
    REQUIRE(run_until(loop, [&] { return caller.response.has_value(); }));
    CHECK(caller.response->status == 200);
    CHECK(caller.response->body == "done");
    CHECK(working.requests.size() == 1);
}
