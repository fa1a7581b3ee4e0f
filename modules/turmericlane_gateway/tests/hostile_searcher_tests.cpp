#include "gateway_fixture.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

std::size_t request_count(const raw_searcher& target)
{
    std::size_t count = 0;
    for (const auto& it : target.connections)
        count += it->request_count;
    return count;
}

/** Sends one request and records what comes back. */
struct recording_client : client_listener
{
    void on_open(client_connection& connection) override
    {
        connection.send("GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n", true);
    }

    void
    on_response(client_connection&, server_response&& new_response) override
    {
        response = std::move(new_response);
    }

    void on_incomplete_response(
        client_connection&,
        unsigned,
        const boost::beast::http::fields&) override
    {
        has_head = true;
    }

    void on_end(client_connection&, connection_end reason) override
    {
        end_reason = reason;
    }

    std::optional<server_response> response;
    std::optional<connection_end> end_reason;
    bool has_head = false;
};

/** Memory of a process on the smallest machines, in bytes. */
constexpr std::uint64_t small_memory_bytes = 160'000'000;

struct small_gateway_fixture : gateway_fixture
{
    small_gateway_fixture()
        : gateway_fixture(small_memory_bytes)
    {
    }
};

} // namespace

// Guards against new work for a searcher that says in its answers that it is
// leaving, while its entry still shows it as ready.
TEST_CASE_FIXTURE(
    gateway_fixture, "a searcher that says that it is leaving gets nothing new")
{
    std::string kind;
    auto& leaving = add_raw_searcher(
        "one", "a",
        [&](const raw_connection& connection, const std::string& request)
        {
            constexpr auto leaving_field = "X-Leaving: 1\r\n";
            if (kind == "answer")
                connection->write(own_answer(request, leaving_field));
            else if (kind == "rejection")
                connection->write(rejection(request, leaving_field));
            else if (kind == "second answer")
                connection->write(
                    raw_answer("sig.0", "0", "copy", leaving_field) +
                    own_answer(request));
            else
            {
                connection->write(
                    "HTTP/1.1 200 OK\r\nX-Id: " + raw_field(request, "X-Id") +
                    "\r\nX-Leaving: 1\r\n"
                    "Content-Length: 100\r\n\r\nbroken");
                connection->close_after_writing();
            }
        });
    auto& staying = add_raw_searcher(
        "one", "b",
        [](const raw_connection& connection, const std::string& request)
        { connection->write(own_answer(request)); });
    SUBCASE("")
    {
        kind = "answer";
    }
    SUBCASE("")
    {
        kind = "rejection";
    }
    SUBCASE("")
    {
        kind = "second answer";
    }
    SUBCASE("")
    {
        kind = "broken";
    }
    CAPTURE(kind);
    start(0, 1.0);
    for (int i = 0; i < 40 && request_count(leaving) == 0; ++i)
        REQUIRE(get_with_id("/one/x", "first" + std::to_string(i)));
    REQUIRE(request_count(leaving) > 0);
    run_for(20ms);
    const auto count = request_count(leaving);
    // The store shows it as ready, again and again.
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        auto entry = leaving.entry("one");
        entry.slots = 4 + static_cast<std::uint32_t>(i);
        store.changes["servers/a"] = entry;
        store_answer change;
        change.revision = 20 + i;
        change.items = {{"servers/a", 20 + i, "opaque"}};
        instance.on_store_answer(std::move(change));
        for (int k = 0; k < 5; ++k)
        {
            const auto response = get_with_id("/one/x", std::to_string(k));
            REQUIRE(response);
            CHECK(response->status == 200);
        }
        run_for(100ms);
    }
    CHECK(request_count(leaving) == count);
    CHECK(request_count(staying) >= 15);
    for (const auto& it : leaving.connections)
        CHECK(it->has_ended());
    CHECK(log_text().find(R"("why":"departing")") != std::string::npos);
}

TEST_CASE_FIXTURE(
    gateway_fixture, "a searcher that wants nothing for a while gets nothing")
{
    auto& full = add_raw_searcher(
        "one", "a",
        [](const raw_connection& connection, const std::string& request)
        { connection->write(rejection(request, "Retry-After: 30\r\n")); });
    add_raw_searcher(
        "one", "b",
        [](const raw_connection& connection, const std::string& request)
        { connection->write(own_answer(request)); });
    start(0, 1.0);
    for (int i = 0; i < 40; ++i)
    {
        const auto response = get_with_id("/one/x", std::to_string(i));
        REQUIRE(response);
        CHECK(response->status == 200);
    }
    CHECK(request_count(full) == 1);
    CHECK(log_text().find("searcher_quiet") != std::string::npos);
}

// Guards against a lost answer because of a header field that makes no sense.
TEST_CASE_FIXTURE(gateway_fixture, "an odd header field is logged, not fatal")
{
    add_raw_searcher(
        "one", "a",
        [](const raw_connection& connection, const std::string& request)
        {
            connection->write(
                own_answer(request, "X-Leaving: maybe\r\nX-Load: many\r\n"));
        });
    start(0, 1.0);
    for (int i = 0; i < 3; ++i)
    {
        const auto response = get_with_id("/one/x", std::to_string(i));
        REQUIRE(response);
        CHECK(response->status == 200);
    }
    CHECK(log_text().find("field_ignored") != std::string::npos);
}

// Guards against passing on the first part of an answer as a complete one.
TEST_CASE("an answer that breaks off at any byte is not complete")
{
    const std::string fixed =
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nabcde";
    const std::string chunked = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n";
    event_context loop;
    for (const auto& text : {fixed, chunked})
    {
        for (std::size_t size = 0; size <= text.size(); ++size)
        {
            raw_searcher server(
                loop, "a",
                [&](const raw_connection& connection, const std::string&)
                {
                    connection->write(text.substr(0, size));
                    connection->close_after_writing();
                });
            recording_client listener;
            const auto connection =
                std::make_shared<client_connection>(loop, listener);
            connection->open(own_address(), server.entry("s").port);
            REQUIRE(run_until(
                loop,
                [&] { return listener.response || listener.end_reason; }));
            CAPTURE(text.substr(0, size));
            CHECK(listener.response.has_value() == (size == text.size()));
            if (!listener.response)
                CHECK(listener.has_head == (size >= text.find("\r\n\r\n") + 4));
            connection->close();
        }
    }
}

TEST_CASE_FIXTURE(
    gateway_fixture, "a caller does not get a broken answer as a success")
{
    add_raw_searcher(
        "one", "a",
        [](const raw_connection& connection, const std::string& request)
        {
            const auto text = own_answer(request);
            connection->write(text.substr(0, text.size() - 1));
            connection->close_after_writing();
        });
    start(0, 1.0);
    const auto response = get_with_id("/one/x", "1");
    REQUIRE(response);
    CHECK(response->status == 502);
    CHECK(response->body.empty());
}

// Guards against an answer that stops in its head and reaches the caller as a
// complete success without a body.
TEST_CASE_FIXTURE(
    gateway_fixture, "an answer that stops in its head is not an answer")
{
    single_route_semantics = execution_semantics::at_most_once;
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Signature: sig\r\nX-Id: 1\r\n";
    const std::string interim_answer = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::vector<std::string> texts = {
        // The status line, a field's name, its value, and a whole line.
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        head,
        head + "Content-Le",
        head + "Content-Length: 1",
        head + "Content-Length: 0\r\n",
        head + "Content-Length: 0\r\n\r",
        head + "Transfer-Encoding: chunked\r\n",
        head + "Connection: close\r\n",
        interim_answer,
        interim_answer + head,
        interim_answer + head + "Content-Length: 0\r\n"};
    auto text = texts.begin();
    add_raw_searcher(
        "one", "a",
        [&](const raw_connection& connection, const std::string& request)
        {
            if (raw_field(request, "X-Id") == "sound")
            {
                connection->write(own_answer(request));
                return;
            }
            connection->write(*text);
            connection->close_after_writing();
        });
    start(0, 1.0);
    for (; text != texts.end(); ++text)
    {
        CAPTURE(*text);
        const auto response = get_with_id("/one/x", "1");
        REQUIRE(response);
        CHECK(response->status == 502);
        CHECK(response->body.empty());
        CHECK(field(response->fields, "X-Signature").empty());
        // A searcher that only fails would get no more requests.
        const auto sound_response = get_with_id("/one/x", "sound");
        REQUIRE(sound_response);
        CHECK(sound_response->status == 200);
    }
}

// Guards against servers that send bytes that are no answer without end.
TEST_CASE("an answer without end is given up")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
    const std::string chunked_head =
        head + "Transfer-Encoding: chunked\r\n\r\n";
    struct endless_answer
    {
        std::string name;
        std::string start;
        std::string repeated;
        connection_end reason;
    };
    const std::string filler(1000, 'x');
    const std::vector<endless_answer> answers = {
        {"head", head, "X-More: " + filler + "\r\n", connection_end::too_large},
        {"field", head + "X-More: ", filler, connection_end::too_large},
        {"status line", "HTTP/1.1 200 ", filler, connection_end::too_large},
        {"body with a length", head + "Content-Length: 1000000000000\r\n\r\n",
         filler, connection_end::too_large},
        {"body with a length near the limit",
         head + "Content-Length: 16000000\r\n\r\n", filler,
         connection_end::too_large},
        {"body until the end", head + "\r\n", filler,
         connection_end::too_large},
        {"chunks", chunked_head, "3e8\r\n" + filler + "\r\n",
         connection_end::too_large},
        {"chunk", chunked_head + "fffffffff\r\n", filler,
         connection_end::too_large},
        {"chunk extension", chunked_head + "5;a=", filler,
         connection_end::too_large},
        {"trailer", chunked_head + "0\r\n", "X-More: " + filler + "\r\n",
         connection_end::too_large},
        {"interim answers", "",
         "HTTP/1.1 100 Continue\r\nX-More: " + filler + "\r\n\r\n",
         connection_end::too_large},
        {"no answer", "", filler, connection_end::malformed}};
    for (const auto& it : answers)
    {
        CAPTURE(it.name);
        event_context loop;
        response_memory memory(4U << 20U);
        raw_searcher server(
            loop, "a",
            [&](const raw_connection& connection, const std::string&)
            {
                connection->write(it.start);
                connection->write_without_end(it.repeated);
            });
        recording_client listener;
        const auto connection =
            std::make_shared<client_connection>(loop, listener, &memory);
        connection->open(own_address(), server.entry("s").port);
        std::size_t most_bytes = 0;
        REQUIRE(run_until(
            loop,
            [&]
            {
                most_bytes = std::max(most_bytes, memory.total_bytes());
                return listener.response || listener.end_reason;
            }));
        CHECK_FALSE(listener.response);
        REQUIRE(listener.end_reason);
        CHECK(*listener.end_reason == it.reason);
        CHECK(memory.total_bytes() == 0);
        CHECK(most_bytes <= 4U << 20U);
        CHECK(run_until(
            loop, [&] { return server.connections.front()->has_ended(); }));
    }
}

// Guards against a process that exceeds its memory because many searchers send
// bodies without end.
TEST_CASE_FIXTURE(
    small_gateway_fixture,
    "bodies without end on many connections stay within the memory")
{
    constexpr std::size_t shard_count = 30;
    for (std::size_t i = 0; i < shard_count; ++i)
        add_raw_searcher(
            "s" + std::to_string(i), "bad" + std::to_string(i),
            [](const raw_connection& connection, const std::string&)
            {
                connection->write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n");
                connection->write_without_end(
                    "2710\r\n" + std::string(10'000, 'x') + "\r\n");
            });
    add_raw_searcher(
        "one", "good",
        [](const raw_connection& connection, const std::string& request)
        { connection->write(own_answer(request)); });
    start(shard_count, 1.0);
    const auto response = get_with_id("/all/x", "1");
    REQUIRE(response);
    CHECK(response->status >= 500);
    const auto metrics = instance.metrics_text();
    CHECK(
        metrics.find("turmericlane_answers_too_large_total 0") ==
        std::string::npos);
    const auto other_response = get_with_id("/one/x", "2");
    REQUIRE(other_response);
    CHECK(other_response->body == "body of 2");
}

TEST_CASE("the largest answer is given up when the memory is used up")
{
    struct holder final : response_holder
    {
        void give_up_response() override
        {
            is_given_up = true;
        }

        bool is_given_up = false;
    };
    holder small;
    holder large;
    response_memory memory(100);
    memory.set(small, 30);
    memory.set(large, 60);
    CHECK_FALSE(large.is_given_up);
    memory.set(small, 41);
    CHECK(large.is_given_up);
    CHECK_FALSE(small.is_given_up);
    CHECK(memory.total_bytes() == 41);
    CHECK(memory.given_up_count() == 1);
    memory.release(small);
    CHECK(memory.total_bytes() == 0);
    memory.set(small, 101);
    CHECK(small.is_given_up);
    CHECK(memory.total_bytes() == 0);
}
