#include "loopback.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

std::string record(char fill)
{
    return std::string(record_bytes, fill);
}

/** A store that answers a listing at once and then is silent. */
struct silent_store : store_reader, store_decoder
{
    void read_page(const std::string&, duration) override
    {
        reading = true;
    }

    void watch(std::uint64_t, duration, duration) override {}

    std::optional<store_change> decode(const store_item& item) override
    {
        return changes.at(item.key);
    }

    std::map<std::string, store_change> changes;
    bool reading = false;
};

/** A gateway on the loopback interface with a route to shards s0, s1, … and one
    to the service "one". */
struct gateway_fixture
{
    gateway_fixture()
        : log_file(::memfd_create("log", MFD_CLOEXEC))
        , log(loop, time, log_file, "test")
        , port(next_port())
        , instance(loop, time, settings(), log)
    {
    }

    gateway_settings settings() const
    {
        gateway_settings made;
        made.name = "test";
        made.data_centre = "north";
        made.local_endpoint = {own_address(), next_port(), port};
        made.names = test_names();
        made.nonce = 5;
        return made;
    }

    standin_searcher&
    add(const std::string& service,
        const std::string& id,
        standin_searcher::script how)
    {
        searchers.push_back(
            std::make_unique<standin_searcher>(loop, time, id, std::move(how)));
        store.changes["servers/" + id] = searchers.back()->entry(service);
        return *searchers.back();
    }

    void start(std::size_t shards, double min_coverage)
    {
        route_configuration made;
        made.version = 3;
        route gathered;
        gathered.name = "gathered";
        gathered.host = "a.example";
        gathered.prefix = "/all/";
        gathered.timeout = 1s;
        gathered.target = 500ms;
        gathered.max_attempts = 2;
        gathered.top_count = 3;
        gathered.min_coverage = min_coverage;
        for (std::size_t i = 0; i < shards; ++i)
            gathered.shards.push_back("s" + std::to_string(i));
        route single;
        single.name = "single";
        single.host = "a.example";
        single.prefix = "/one/";
        single.timeout = 1s;
        single.target = 500ms;
        single.max_attempts = 2;
        single.services = {{"one", 1.0}};
        made.routes = {gathered, single};
        for (const auto& it : gathered.shards)
            made.services.push_back({it, 20});
        made.services.push_back({"one", 20});
        store.changes["config"] = made;
        REQUIRE_FALSE(instance.start().has_value());
        instance.follow_store(store, store);
        REQUIRE(store.reading);
        store_answer listing;
        listing.revision = 9;
        for (const auto& [key, change] : store.changes)
            listing.items.push_back({key, 9, "opaque"});
        instance.on_store_answer(std::move(listing));
    }

    /** @returns the answer to a request on a new connection */
    std::optional<server_response>
    ask(const std::string& target, const std::string& more = {})
    {
        standin_caller caller(loop, port);
        caller.send(text(target, more));
        run_until(
            loop, [&] { return caller.response.has_value() || caller.ended; });
        return caller.response;
    }

    std::string logged()
    {
        log.flush();
        std::string made(std::size_t{64} << 10U, ' ');
        const auto n = ::pread(log_file, made.data(), made.size(), 0);
        made.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return made;
    }

    static std::string
    text(const std::string& target, const std::string& more = {})
    {
        return "GET " + target +
               " HTTP/1.1\r\nHost: a.example\r\nX-Id: 77\r\nX-Left: 900\r\n" +
               more + "\r\n";
    }

    event_context loop;
    monotonic_clock time;
    int log_file;
    json_log log;
    std::uint16_t port;
    silent_store store;
    std::vector<std::unique_ptr<standin_searcher>> searchers;
    gateway instance;
};

void never_answer(const std::shared_ptr<caller_session>&, const caller_request&)
{
}

} // namespace

// Guards against a test that fails because another process on the machine holds
// the port that it was given.
TEST_CASE_FIXTURE(
    gateway_fixture, "a port that another process holds is not in the way")
{
    tcp_acceptor other(loop.get_executor());
    other.open(tcp::v4());
    other.bind({boost::asio::ip::make_address("127.0.0.1"), port});
    CHECK_FALSE(instance.start().has_value());
}

TEST_CASE_FIXTURE(gateway_fixture, "all parts are merged and named")
{
    add("s0", "a", signed_answer("sig.0", record('1') + record('4')));
    add("s1", "b", signed_answer("sig.1", record('3') + record('2')));
    start(2, 1.0);
    const auto got = ask("/all/x?q=1");
    REQUIRE(got);
    CHECK(got->status == 200);
    CHECK(got->body == record('4') + record('3') + record('2'));
    CHECK(field(got->fields, "X-Parts") == "sig.0, sig.1");
    CHECK(field(got->fields, "X-Missing") == "0");
    REQUIRE(searchers[0]->requests.size() == 1);
    const auto& sent = searchers[0]->requests.front();
    CHECK(sent.target == "/all/x?q=1");
    CHECK(field(sent.fields, "X-Id") == "77");
    CHECK(field(sent.fields, "X-Expect") == "a");
    CHECK(std::stoi(std::string(field(sent.fields, "X-Left"))) <= 900);
}

TEST_CASE_FIXTURE(
    gateway_fixture, "a single searcher's answer goes on unchanged")
{
    add("one", "a", signed_answer("sig.a", "the body"));
    start(0, 1.0);
    const auto got = ask("/one/x");
    REQUIRE(got);
    CHECK(got->status == 200);
    CHECK(got->body == "the body");
    CHECK(field(got->fields, "X-Signature") == "sig.a");
    CHECK(field(got->fields, "X-Id") == "77");
}

TEST_CASE_FIXTURE(gateway_fixture, "a broken answer is asked for elsewhere")
{
    add("one", "a", signed_answer("sig.a", "the body"));
    add("one", "b",
        [](const std::shared_ptr<caller_session>& to, const caller_request&)
        { to->respond(200, {}, "unsigned"); });
    start(0, 1.0);
    for (int i = 0; i < 6; ++i)
    {
        const auto got = ask("/one/x");
        REQUIRE(got);
        CHECK(got->status == 200);
        CHECK(got->body == "the body");
    }
}

// Guards against an earlier request's answer in place of the present one.
TEST_CASE_FIXTURE(gateway_fixture, "an answer to another request is no answer")
{
    add("one", "a",
        [](const std::shared_ptr<caller_session>& to, const caller_request&)
        {
            std::string fields;
            append_field(fields, "X-Signature", "sig.a");
            append_field(fields, "X-Id", "76");
            to->respond(200, fields, "another", true);
        });
    start(0, 1.0);
    const auto got = ask("/one/x");
    REQUIRE(got);
    CHECK(got->status == 502);
    CHECK(got->body.empty());
}

TEST_CASE_FIXTURE(gateway_fixture, "a request without a route gets 404")
{
    add("one", "a", signed_answer("sig.a", "the body"));
    start(0, 1.0);
    const auto got = ask("/two/x");
    REQUIRE(got);
    CHECK(got->status == 404);
    CHECK(searchers[0]->requests.empty());
    CHECK(logged().find(R"("why":"no_route")") != std::string::npos);
}

// Guards against a 404 from an instance that does not know the routes yet.
TEST_CASE_FIXTURE(gateway_fixture, "without a configuration the answer is 503")
{
    REQUIRE_FALSE(instance.start().has_value());
    instance.follow_store(store, store);
    CHECK_FALSE(instance.is_ready());
    const auto got = ask("/one/x");
    REQUIRE(got);
    CHECK(got->status == 503);
    CHECK_FALSE(field(got->fields, "Retry-After").empty());
    const auto lines = logged();
    CHECK(
        lines.find(R"("request":"77","why":"no_state")") != std::string::npos);
}

// Guards against callers that spend their only retry before the store is back.
TEST_CASE_FIXTURE(
    gateway_fixture, "while the store is out of reach callers come back later")
{
    REQUIRE_FALSE(instance.start().has_value());
    instance.follow_store(store, store);
    const auto starting = ask("/one/x");
    REQUIRE(starting);
    instance.on_store_failure(store_failure::unreachable);
    const auto lost = ask("/one/x");
    REQUIRE(lost);
    CHECK(lost->status == 503);
    const auto seconds = [](const server_response& of)
    { return std::stod(std::string(field(of.fields, "Retry-After"))); };
    CHECK(seconds(*lost) >= 3 * seconds(*starting));
}

TEST_CASE_FIXTURE(
    gateway_fixture, "a searcher stops working when the caller has left")
{
    auto& searcher = add("one", "a", never_answer);
    start(0, 1.0);
    standin_caller caller(loop, port);
    caller.send(text("/one/x"));
    REQUIRE(run_until(loop, [&] { return searcher.requests.size() == 1; }));
    caller.leave();
    CHECK(run_until(loop, [&] { return searcher.callers_left == 1; }));
}

TEST_CASE_FIXTURE(gateway_fixture, "a searcher that is down is not waited for")
{
    add("one", "a", signed_answer("sig.a", "the body"));
    add("one", "b", signed_answer("sig.b", "the body")).stop();
    start(0, 1.0);
    for (int i = 0; i < 6; ++i)
    {
        const auto got = ask("/one/x");
        REQUIRE(got);
        CHECK(got->status == 200);
        CHECK(field(got->fields, "X-Signature") == "sig.a");
    }
}

TEST_CASE_FIXTURE(gateway_fixture, "callers beyond their limits are told")
{
    add("one", "a", signed_answer("sig.a", "the body"));
    start(0, 1.0);
    const auto large =
        ask("/one/x", "X-Large: " + std::string(20'000, 'x') + "\r\n");
    REQUIRE(large);
    CHECK(large->status == 431);
    const auto body = ask("/one/x", "Content-Length: 900000\r\n");
    REQUIRE(body);
    CHECK(body->status == 413);
    const auto smuggled =
        ask("/one/x", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n");
    REQUIRE(smuggled);
    CHECK(smuggled->status == 400);
    CHECK(searchers[0]->requests.empty());
}

// Guards against a request that is cut off by a planned stop.
TEST_CASE_FIXTURE(
    gateway_fixture, "a leaving instance answers what it has read")
{
    std::shared_ptr<caller_session> waiting;
    auto& searcher =
        add("one", "a",
            [&](const std::shared_ptr<caller_session>& to,
                const caller_request&) { waiting = to; });
    start(0, 1.0);
    CHECK(instance.is_ready());
    standin_caller caller(loop, port);
    caller.send(text("/one/x"));
    REQUIRE(run_until(loop, [&] { return searcher.requests.size() == 1; }));
    instance.terminate();
    CHECK_FALSE(instance.is_ready());
    std::string fields;
    append_field(fields, "X-Signature", "sig.a");
    waiting->respond(200, fields, "late");
    REQUIRE(run_until(loop, [&] { return caller.response.has_value(); }));
    CHECK(caller.response->status == 200);
    CHECK_FALSE(caller.response->keep_alive);
}

TEST_CASE_FIXTURE(gateway_fixture, "requests follow each other on a connection")
{
    add("one", "a", signed_answer("sig.a", "the body"));
    start(0, 1.0);
    standin_caller caller(loop, port);
    for (int i = 0; i < 5; ++i)
    {
        caller.send(text("/one/" + std::to_string(i)));
        REQUIRE(run_until(loop, [&] { return caller.response.has_value(); }));
        CHECK(caller.response->status == 200);
    }
    CHECK_FALSE(caller.ended);
}

// Guards against a wait for the deadline at a searcher whose host is gone. A
// receiver that does not read leaves bytes unacknowledged, too.
TEST_CASE("a connection ends when its bytes stay unacknowledged")
{
    struct recorder : client_listener
    {
        void on_open(client_connection& from) override
        {
            from.set_acknowledgement_time(50ms);
            from.send(std::string(64U << 20U, 'x'), true);
        }

        void on_response(client_connection&, server_response&&) override {}

        void on_end(client_connection&, connection_end why) override
        {
            ended = why;
        }

        std::optional<connection_end> ended;
    };
    event_context loop;
    boost::asio::ip::tcp::acceptor silent(
        loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    recorder got;
    const auto connection = std::make_shared<client_connection>(loop, got);
    connection->open("127.0.0.1", silent.local_endpoint().port());
    REQUIRE(run_until(loop, [&] { return got.ended.has_value(); }));
    CHECK(*got.ended == connection_end::unacknowledged);
}

// Guards against a log that holds up requests because nobody reads it.
TEST_CASE("a log whose reader has stopped is bounded and never blocks")
{
    int ends[2] = {};
    REQUIRE(::pipe(ends) == 0);
    event_context loop;
    manual_clock time;
    {
        json_log log(loop, time, ends[1], "test");
        for (int i = 0; i < 20'000; ++i)
        {
            time.advance(1ms);
            log.detail(
                gateway_event::request_failed,
                {{"request", "77"}, {"took_ms", std::int64_t{5}}});
            log.flush();
        }
        CHECK(log.dropped() > 10'000);
        CHECK(log.dropped() < 20'000);
    }
    ::close(ends[0]);
}
