#include "loopback.h"

#include <turmericlane_gateway/gateway/caller_directory.h>
#include <turmericlane_gateway/gateway/request_text.h>
#include <turmericlane_gateway/gateway/work_meter.h>
#include <turmericlane_gateway/log/json_log.h>
#include <turmericlane_gateway/peers/datagram_header.h>
#include <turmericlane_gateway/peers/feed_body.h>
#include <turmericlane_gateway/searchers/answer_reader.h>

#include <doctest/doctest.h>

#include <fstream>

using namespace turmericlane;
using turmericlane::tests::test_names;
using namespace std::chrono_literals;

namespace
{

server_response make_response(unsigned status, const std::string& signature)
{
    server_response made;
    made.status = status;
    made.body = "body";
    if (!signature.empty())
        made.fields.insert("X-Signature", signature);
    return made;
}

attempt_outcome outcome_of(server_response response, bool part)
{
    return read_answer(std::move(response), test_names(), part).outcome;
}

caller_request make_request()
{
    caller_request made;
    made.method = "GET";
    made.target = "/a/b?c=1&d=x%20y";
    made.fields.insert("Host", "a.example:80");
    made.fields.insert("X-Id", "77");
    made.fields.insert("X-Left", "800");
    made.fields.insert("Connection", "keep-alive, X-Hop");
    made.fields.insert("X-Hop", "1");
    made.fields.insert("X-Expect", "forged");
    made.fields.insert("Accept", "*/*");
    return made;
}

} // namespace

// Guards against answers that a caller takes for the searcher's though they
// are not.
TEST_CASE("only a signed success with a plain body is an answer")
{
    CHECK(
        outcome_of(make_response(200, "s.1"), true) ==
        attempt_outcome::answered);
    CHECK(outcome_of(make_response(200, ""), true) == attempt_outcome::broken);
    CHECK(outcome_of(make_response(200, ""), false) == attempt_outcome::broken);
    CHECK(
        outcome_of(make_response(500, "s.1"), true) ==
        attempt_outcome::server_error);
    CHECK(
        outcome_of(make_response(404, "s.1"), true) ==
        attempt_outcome::server_error);
    CHECK(
        outcome_of(make_response(404, "s.1"), false) ==
        attempt_outcome::answered);
    auto encoded = make_response(200, "s.1");
    encoded.fields.insert("Content-Encoding", "gzip");
    CHECK(outcome_of(std::move(encoded), true) == attempt_outcome::broken);
    // A signature that could not be told from two in a list.
    CHECK(
        outcome_of(make_response(200, "s.1, s.2"), true) ==
        attempt_outcome::broken);
}

TEST_CASE("a refusal has not run, a misdirected request neither")
{
    auto full = make_response(503, "");
    full.fields.insert("X-Not-Run", "1");
    CHECK(outcome_of(std::move(full), true) == attempt_outcome::rejected);
    CHECK(
        outcome_of(make_response(421, ""), true) ==
        attempt_outcome::misdirected);
    CHECK(
        outcome_of(make_response(503, ""), true) ==
        attempt_outcome::server_error);
}

// Guards against a late answer to an earlier request on the same connection.
TEST_CASE("an answer belongs to the request whose id it echoes")
{
    auto response = make_response(200, "s.1");
    CHECK(belongs_to(response, test_names(), "77"));
    response.fields.insert("X-Id", "76");
    CHECK_FALSE(belongs_to(response, test_names(), "77"));
    CHECK(belongs_to(response, test_names(), "76"));
}

TEST_CASE("a load is read whole or not at all")
{
    const auto load = parse_load("3,0,8");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 0);
    CHECK(load->slots == 8);
    for (const auto* it :
         {"", "3", "3,0", "3,0,8,1", "3,0,8x", "-1,0,8", "3;0;8"})
        CHECK_FALSE(parse_load(it));
}

TEST_CASE("a request goes on without the fields of its connection")
{
    const auto made = make_outgoing(make_request(), test_names(), true);
    CHECK(made.id == "77");
    CHECK(made.head.starts_with("GET /a/b?c=1&d=x%20y HTTP/1.1\r\n"));
    CHECK(made.head.find("Accept: */*\r\n") != std::string::npos);
    CHECK(made.head.find("X-Id: 77\r\n") != std::string::npos);
    for (const auto* it : {"Connection", "X-Hop", "X-Left", "X-Expect"})
        CHECK(made.head.find(it) == std::string::npos);
    CHECK(made.tail == "\r\n");
}

TEST_CASE("a body goes on with its length, whatever it came with")
{
    auto request = make_request();
    request.method = "POST";
    request.fields.insert("Transfer-Encoding", "chunked");
    request.body = "0123456789";
    const auto made = make_outgoing(request, test_names(), false);
    CHECK(made.head.find("Transfer-Encoding") == std::string::npos);
    CHECK(made.tail == "Content-Length: 10\r\n\r\n0123456789");
    request.body.clear();
    CHECK(
        make_outgoing(request, test_names(), false).tail ==
        "Content-Length: 0\r\n\r\n");
}

TEST_CASE("the time left is a whole number or unknown")
{
    auto request = make_request();
    CHECK(read_time_left(request, test_names()) == duration(800ms));
    for (const auto* it : {"", "-1", "1.5", "soon"})
    {
        request.fields.set("X-Left", it);
        CHECK_FALSE(read_time_left(request, test_names()));
    }
}

TEST_CASE("path, host and parameters of a request")
{
    const auto request = make_request();
    CHECK(request.path() == "/a/b");
    CHECK(request.host() == "a.example");
    CHECK(request.parameter("c") == "1");
    CHECK(request.parameter("d") == "x%20y");
    CHECK(request.parameter("e").empty());
}

TEST_CASE("a merged answer names its parts and how many are missing")
{
    forward_result result;
    result.part_signatures = {"s.1", "s.2"};
    result.missing_parts = 1;
    CHECK(
        answer_fields(result, test_names()) ==
        "X-Parts: s.1, s.2\r\nX-Missing: 1\r\n");
    CHECK(retry_fields(250ms) == "Retry-After: 0.250\r\n");
}

TEST_CASE("datagram headers survive the way, others are refused")
{
    datagram_header header;
    header.kind = datagram_kind::feed;
    header.through = 1ULL << 40U;
    header.age = 1234ms;
    header.port = 7740;
    header.busy_percent = 37;
    auto buf = encode(header);
    CHECK(decode_datagram_header(buf) == header);
    CHECK_FALSE(decode_datagram_header(std::span(buf).first(23)));
    buf[4] = 9;
    CHECK_FALSE(decode_datagram_header(buf));
    buf = encode(header);
    buf[0] ^= 1U;
    CHECK_FALSE(decode_datagram_header(buf));
}

// Guards against callers that keep addresses which an instance chose from the
// few others that it knew after all had been restarted: they spread over the
// whole fleet, where no instance has a repeat to spend.
TEST_CASE("callers ask again soon while the known fleet changes much")
{
    time_point now{1h};
    std::vector<member> fleet(40);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet[i].listen_endpoint = {"10.0.0." + std::to_string(i + 1), 1, 2};
        fleet[i].nonce = i + 1;
        fleet[i].capacity = 250;
    }
    const auto part = [&](std::ptrdiff_t size)
    { return std::vector(fleet.begin(), fleet.begin() + size); };
    caller_directory directory(fleet[0]);
    directory.choose(part(8), {}, 8, now);
    CHECK(directory.address_lifetime(5s, now) == 1s);
    CHECK(directory.address_lifetime(500ms, now) == 500ms);
    now += 2s;
    directory.choose(part(30), {}, 30, now);
    CHECK(directory.address_lifetime(5s, now + 1900ms) == 1s);
    now += 2s;
    CHECK(directory.address_lifetime(5s, now) == 5s);
    // Single instances come and go in a fleet of any size.
    directory.choose(part(31), {}, 31, now);
    CHECK(directory.address_lifetime(5s, now) == 5s);
    // A data centre is lost.
    directory.choose(part(20), {}, 31, now);
    CHECK(directory.address_lifetime(5s, now) == 1s);
}

// Guards against callers that are sent to an instance that stops before their
// answer has expired.
TEST_CASE("an instance that leaves or is lost is named no more")
{
    const time_point now{1h};
    std::vector<member> fleet(3);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet[i].listen_endpoint = {"10.0.0." + std::to_string(i + 1), 1, 2};
        fleet[i].nonce = i + 1;
        fleet[i].capacity = 250;
    }
    caller_directory directory(fleet[0]);
    // Nobody else is known.
    CHECK(directory.addresses(64) == std::vector{fleet[0].listen_endpoint});
    auto division = directory.choose(fleet, {}, 3, now);
    CHECK(directory.addresses(64).size() == 3);
    CHECK(division == fleet_division{3, 3, true});
    // This instance leaves.
    division = directory.choose({fleet[1], fleet[2]}, {}, 3, now);
    const auto others = directory.addresses(64);
    CHECK(others.size() == 2);
    CHECK(
        std::count(others.begin(), others.end(), fleet[0].listen_endpoint) ==
        0);
    CHECK_FALSE(division.self_named);
    CHECK(own_part(division) > 0.0);
    // Fewer are asked for than there are: each answer names others.
    CHECK(directory.addresses(1) != directory.addresses(1));
}

// Guards against a burst that is noticed only after callers have asked again.
TEST_CASE("the work of an instance is told in percent of its share")
{
    work_meter work(0.5);
    time_point now{1h};
    work.measure(now);
    CHECK(work.busy_percent() == 0);
    // 700 attempts a second need a fifth of half a core.
    for (int i = 0; i < 400; ++i)
    {
        for (int n = 0; n < 35; ++n)
            work.on_attempt();
        now += 50ms;
        work.measure(now);
    }
    CHECK(work.busy_percent() >= 18);
    CHECK(work.busy_percent() <= 22);
    CHECK(work_meter::cores(20, 500) == doctest::Approx(0.1));
    for (int i = 0; i < 2'000'000; ++i)
        work.on_attempt();
    now += 1s;
    work.measure(now);
    CHECK(work.busy_percent() == 255);
}

// Guards against memory that a damaged size would ask for.
TEST_CASE("compressed bodies are restored, damaged ones refused")
{
    const std::string content(100'000, 'x');
    auto body = compress_body(content);
    CHECK(body.size() < content.size() / 10);
    const auto restored = decompress_body(body);
    REQUIRE(restored);
    CHECK(std::string(restored->begin(), restored->end()) == content);
    CHECK_FALSE(decompress_body(body.substr(0, body.size() - 1)));
    CHECK_FALSE(decompress_body("short"));
    body[7] = '\x7f';
    CHECK_FALSE(decompress_body(body));
}

// Guards against a catalogue that no longer says what the log writes.
TEST_CASE("the catalogue names every event")
{
    std::ifstream file(TURMERICLANE_SOURCE_DIR "/docs/gateway-events.md");
    const std::string page(std::istreambuf_iterator<char>(file), {});
    REQUIRE_FALSE(page.empty());
    for (const auto it : all_gateway_events())
    {
        const auto row = "| " + std::to_string(static_cast<unsigned>(it)) +
                         " | " + std::string(to_string(it)) + " |";
        CHECK_MESSAGE(page.find(row) != std::string::npos, row);
    }
}
