#include "gateway_fixture.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

// Guards against a caller that gets the answer to another caller's request.
TEST_CASE_FIXTURE(
    gateway_fixture, "a late copy of an answer is not taken for the next one")
{
    std::string copy_id;
    std::string former_id;
    std::size_t copies = 0;
    add_raw_searcher(
        "one", "a",
        [&](const raw_connection& connection, const std::string& request)
        {
            if (!former_id.empty() && connection->request_count > 1)
            {
                connection->write(raw_answer(
                    "sig." + former_id, copy_id == "none" ? "" : former_id,
                    "body of " + former_id));
                ++copies;
            }
            former_id = raw_field(request, "X-Id");
            connection->write(own_answer(request));
        });
    start(0, 1.0);
    for (const auto* id_of_copy : {"none", "former"})
    {
        copy_id = id_of_copy;
        for (int i = 0; i < 8; ++i)
        {
            const auto id = copy_id + std::to_string(i);
            const auto response = get_with_id("/one/x", id);
            REQUIRE(response);
            CHECK(response->status == 200);
            CHECK(response->body == "body of " + id);
        }
    }
    CHECK(copies > 10);
    CHECK(log_text().find("answer_unmatched") != std::string::npos);
}

// Guards against a gathered answer with a part that answers another request.
TEST_CASE_FIXTURE(
    gateway_fixture, "a late copy of a part is not merged into the next answer")
{
    std::string former_id;
    std::size_t copies = 0;
    const auto answer = [](const std::string& id, bool has_id) {
        return raw_answer(
            "sig." + id, has_id ? id : "", make_record(id.back()));
    };
    add_raw_searcher(
        "s0", "a",
        [&](const raw_connection& connection, const std::string& request)
        {
            if (connection->request_count > 1)
            {
                connection->write(answer(former_id, false));
                ++copies;
            }
            former_id = raw_field(request, "X-Id");
            connection->write(answer(former_id, true));
        });
    start(1, 1.0);
    for (int i = 0; i < 8; ++i)
    {
        const auto id = "n" + std::to_string(i);
        const auto response = get_with_id("/all/x", id);
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->body == make_record(id.back()));
        CHECK(field(response->fields, "X-Parts") == "sig." + id);
    }
    CHECK(copies > 4);
}

// Guards against "not run" for a request that runs: the rejection belongs to
// an earlier one.
TEST_CASE_FIXTURE(
    gateway_fixture, "a late copy of a rejection does not reject the next one")
{
    add_raw_searcher(
        "one", "a",
        [&](const raw_connection& connection, const std::string& request)
        {
            if (connection->request_count > 1)
                connection->write("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                                  "Content-Length: 0\r\n\r\n");
            connection->write(own_answer(request));
        });
    start(0, 1.0);
    for (int i = 0; i < 5; ++i)
    {
        const auto id = std::to_string(i);
        const auto response = get_with_id("/one/x", id);
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->body == "body of " + id);
    }
}

// Guards against "not run" for an order that runs, and against an attempt that
// is ended by a copy: the late copy answers an earlier attempt of the same
// request, so that its id tells nothing.
TEST_CASE_FIXTURE(
    gateway_fixture,
    "a late copy of an answer does not end the request's next attempt")
{
    std::string service = "one";
    std::string target = "/one/x";
    std::function<std::string(const std::string&)> make_failure =
        [](const std::string& request) { return rejection(request, {}); };
    SUBCASE("a rejected order")
    {
        single_route_semantics = execution_semantics::at_most_once;
    }
    SUBCASE("a rejected query") {}
    SUBCASE("a rejected sub-request")
    {
        service = "s0";
        target = "/all/x";
    }
    SUBCASE("an error")
    {
        make_failure = [](const std::string& request)
        {
            const auto id = raw_field(request, "X-Id");
            return "HTTP/1.1 500 Error\r\nX-Signature: error." + id +
                   "\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
        };
    }
    // By the id of the request: the answer to its first attempt, and the
    // connection that has carried it.
    std::map<std::string, std::pair<std::string, const void*>> failures;
    std::map<std::string, int> runs;
    add_raw_searcher(
        service, "a",
        [&](const raw_connection& connection, const std::string& request)
        {
            const auto id = raw_field(request, "X-Id");
            const auto [it, is_first] = failures.try_emplace(
                id, make_failure(request), connection.get());
            if (is_first)
            {
                connection->write(it->second.first);
                return;
            }
            if (it->second.second == connection.get())
                connection->write(it->second.first);
            ++runs[id];
            connection->write(
                service == "s0" ? raw_answer("sig." + id, id, make_record('r'))
                                : own_answer(request));
        });
    start(service == "s0" ? 1 : 0, 1.0);
    // The budget allows three retries.
    for (int i = 0; i < 3; ++i)
    {
        const auto id = std::to_string(i);
        const auto response = get_with_id(target, id);
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(runs[id] == 1);
    }
}

// Guards against a copy that cannot be told from the next answer.
TEST_CASE_FIXTURE(
    gateway_fixture, "a connection is used once if its answers carry no id")
{
    auto& target = add_raw_searcher(
        "one", "a",
        [](const raw_connection& connection, const std::string& request)
        {
            connection->write(
                raw_answer("sig", "", "body of " + raw_field(request, "X-Id")));
        });
    start(0, 1.0);
    for (int i = 0; i < 4; ++i)
    {
        const auto id = std::to_string(i);
        const auto response = get_with_id("/one/x", id);
        REQUIRE(response);
        CHECK(response->body == "body of " + id);
    }
    for (const auto& it : target.connections)
        CHECK(it->request_count <= 1);
}

TEST_CASE_FIXTURE(
    gateway_fixture, "bytes on an idle connection end it and nothing else")
{
    auto& target = add_raw_searcher(
        "one", "a",
        [](const raw_connection& connection, const std::string& request)
        { connection->write(own_answer(request)); });
    start(0, 1.0);
    REQUIRE(get_with_id("/one/x", "1"));
    target.connections.back()->write(
        raw_answer("sig.1", "1", "body of 1") + "and more");
    REQUIRE(run_until(
        loop, [&] { return target.connections.back()->has_ended(); }));
    const auto response = get_with_id("/one/x", "2");
    REQUIRE(response);
    CHECK(response->body == "body of 2");
}
