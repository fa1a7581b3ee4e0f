#include "gateway_fixture.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** Returns the lines of a log that contain all given texts. */
std::vector<std::string>
find_lines(const std::string& log, std::initializer_list<std::string> texts)
{
    std::vector<std::string> result;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);)
    {
        auto matches = true;
        for (const auto& it : texts)
            matches = matches && line.find(it) != std::string::npos;
        if (matches)
            result.push_back(line);
    }
    return result;
}

std::string name_text(const std::string& name)
{
    return "\"name\":\"" + name + "\"";
}

/** Uses up the rate of lines about single requests. */
void exhaust_rate(json_log& log)
{
    const auto dropped = log.dropped_line_count();
    while (log.dropped_line_count() == dropped)
        log.write_detail(gateway_event::request_malformed, {});
}

struct stop_log_fixture : gateway_fixture
{
    stop_log_fixture()
        : gateway_fixture(0, 1s)
    {
        // No request reaches its deadline, however slow the machine is.
        route_timeout = 60s;
        target_latency = 60s;
        single_route_semantics = execution_semantics::at_most_once;
    }

    /** Sends requests with the ids id0, id1, … and waits until the gateway has
        read them. */
    std::vector<std::unique_ptr<standin_caller>>
    send_requests(std::size_t count)
    {
        std::vector<std::unique_ptr<standin_caller>> callers;
        for (std::size_t i = 0; i < count; ++i)
        {
            callers.push_back(std::make_unique<standin_caller>(loop, port));
            callers.back()->send(
                "POST /one/x HTTP/1.1\r\nHost: a.example\r\nX-Id: id" +
                std::to_string(i) + "\r\nContent-Length: 0\r\n\r\n");
        }
        // A connection that was opened later is accepted later.
        REQUIRE(get("/no_route"));
        return callers;
    }
};

} // namespace

// Guards against requests that a stop cuts off and no line names, because the
// rate of lines was used up.
TEST_CASE_FIXTURE(
    stop_log_fixture, "the log names every request that a stop cuts off")
{
    auto& silent_searcher = add_searcher(
        "one", "a",
        [](const std::shared_ptr<caller_session>&, const caller_request&) {});
    start(0, 1.0);
    // More than the searcher gets at a time; the rest waits in the gateway.
    constexpr std::size_t caller_count = 20;
    const auto callers = send_requests(caller_count);
    REQUIRE(run_until(loop, [&] { return !silent_searcher.requests.empty(); }));
    instance.terminate();
    REQUIRE(run_until(
        loop,
        [&]
        {
            exhaust_rate(log);
            return loop.stopped();
        }));
    const auto text = log_text();
    for (std::size_t i = 0; i < caller_count; ++i)
    {
        const auto id = "\"request\":\"id" + std::to_string(i) + "\"";
        CHECK(find_lines(text, {name_text("request_open"), id}).size() == 1);
        CHECK(find_lines(text, {"\"why\":\"stopping\"", id}).size() == 1);
    }
    CHECK(
        find_lines(
            text, {name_text("request_open"), "\"searchers\":\"silent\"",
                   "one@a running "})
            .size() == silent_searcher.requests.size());
    CHECK(
        find_lines(
            text, {name_text("request_open"), "\"searchers\":\"not_sent\"",
                   "\"open_parts\":\"one@ waiting 0 silent 0\""})
            .size() == caller_count - silent_searcher.requests.size());
    CHECK(
        find_lines(
            text, {name_text("stopped"), "\"pending\":20,\"handling\":20",
                   "\"cut_off\":20", "\"unlisted\":0"})
            .size() == 1);
    CHECK(
        find_lines(
            text, {name_text("loop_ended"), "\"pending\":0,\"handling\":0"})
            .size() == 1);
}

// Guards against a log that the open requests of a stop fill, and against a
// bound that hides how many there were.
TEST_CASE_FIXTURE(
    stop_log_fixture, "the lines about open requests are bounded and counted")
{
    add_searcher(
        "one", "a",
        [](const std::shared_ptr<caller_session>&, const caller_request&) {});
    start(0, 1.0);
    constexpr auto listed = shutdown_recorder::max_listed_requests;
    const auto callers = send_requests(listed + 15);
    instance.terminate();
    REQUIRE(run_until(
        loop,
        [&]
        {
            exhaust_rate(log);
            return loop.stopped();
        }));
    const auto text = log_text();
    CHECK(find_lines(text, {name_text("request_open")}).size() == listed);
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        const auto id = "\"request\":\"id" + std::to_string(i) + "\"";
        const auto n = find_lines(text, {name_text("request_open"), id}).size();
        CHECK(find_lines(text, {"\"why\":\"stopping\"", id}).size() >= n);
    }
    CHECK(
        find_lines(
            text, {name_text("stopped"), "\"cut_off\":215", "\"unlisted\":15"})
            .size() == 1);
}

// Guards against signals that leave no trace: a repeated one, or one that comes
// while the loop is late.
TEST_CASE_FIXTURE(
    stop_log_fixture, "the log has every termination signal and what is open")
{
    std::shared_ptr<caller_session> held_session;
    add_searcher(
        "one", "a",
        [&](const std::shared_ptr<caller_session>& session,
            const caller_request&) { held_session = session; });
    start(0, 1.0);
    standin_caller caller(loop, port);
    caller.send(request_text("/one/x"));
    REQUIRE(run_until(loop, [&] { return held_session != nullptr; }));
    exhaust_rate(log);
    for (int i = 0; i < 3; ++i)
        instance.terminate();
    const auto text = log_text();
    const std::string open = "\"pending\":1,\"handling\":1,\"writing\":0,"
                             "\"discarding\":0,\"idle\":0,\"reading\":0";
    CHECK(
        find_lines(
            text, {name_text("termination_signal"), open,
                   "\"lag_ms\":", "\"phase\":\"serving\"", "\"ignored\":false"})
            .size() == 1);
    CHECK(
        find_lines(
            text, {name_text("termination_signal"), open,
                   "\"phase\":\"leaving\"", "\"ignored\":true"})
            .size() == 2);
    CHECK(find_lines(text, {name_text("shutdown_phase"), open}).size() == 1);
}

// Guards against a log that a platform's repeated signals fill.
TEST_CASE_FIXTURE(stop_log_fixture, "lines about repeated signals are bounded")
{
    add_searcher("one", "a", signed_answer("sig.a", "x"));
    start(0, 1.0);
    constexpr std::size_t signal_count = 2000;
    for (std::size_t i = 0; i < signal_count; ++i)
        instance.terminate();
    CHECK(
        find_lines(log_text(), {name_text("termination_signal")}).size() <
        signal_count / 2);
    CHECK(log.dropped_line_count() > 0);
}

// Guards against a caller's connection whose end cannot be found by the id of
// its request.
TEST_CASE_FIXTURE(
    stop_log_fixture, "a cut connection is logged with its request and counted")
{
    std::shared_ptr<caller_session> held_session;
    add_searcher(
        "one", "a",
        [&](const std::shared_ptr<caller_session>& session,
            const caller_request&) { held_session = session; });
    start(0, 1.0);
    standin_caller caller(loop, port);
    caller.send(request_text("/one/x"));
    REQUIRE(run_until(loop, [&] { return held_session != nullptr; }));
    caller.disconnect();
    REQUIRE(run_until(
        loop,
        [&]
        {
            return find_lines(log_text(), {name_text("request_abandoned")})
                       .size() == 1;
        }));
    CHECK(
        find_lines(
            log_text(),
            {name_text("connection_cut"), "\"request\":\"77\"",
             "\"cause\":\"caller_closed\"", "\"state\":\"handling\""})
            .size() == 1);
    CHECK(
        instance.metrics_text().find("turmericlane_connections_cut_total{cause="
                                     "\"caller_closed\"} 1") !=
        std::string::npos);
}
