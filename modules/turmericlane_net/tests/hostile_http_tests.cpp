#include "recording_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <latch>

using namespace turmericlane;

namespace
{

namespace asio = boost::asio;

http_frontend_settings make_settings()
{
    http_frontend_settings settings;
    settings.host = "127.0.0.1";
    settings.threads = 2;
    settings.max_connections = 8;
    settings.limits.max_body_bytes = 1000;
    settings.limits.max_head_bytes = 1000;
    settings.limits.max_field_count = 5;
    settings.limits.max_empty_lines = 2;
    // Longer than a test waits, so that only the tested limit ends a request.
    settings.limits.idle_timeout = 10 * test_timeout;
    settings.limits.request_timeout = 10 * test_timeout;
    settings.limits.busy_idle_timeout = 10 * test_timeout;
    settings.limits.busy_request_timeout = 10 * test_timeout;
    return settings;
}

/** A connection on which a test decides every byte. */
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string& text)
    {
        boost::system::error_code ignored_ec;
        asio::write(socket_, asio::buffer(text), ignored_ec);
    }

    /** Reads until the connection is closed. */
    std::string read_until_closed()
    {
        std::string text;
        boost::system::error_code ec;
        asio::read(socket_, asio::dynamic_buffer(text), ec);
        return text;
    }

    /** Returns the status that the first bytes of a response state. */
    std::string read_status()
    {
        std::string text(12, ' ');
        boost::system::error_code ec;
        asio::read(socket_, asio::buffer(text), ec);
        return ec ? ec.message() : text.substr(9);
    }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_{context_};
};

/** A frontend that counts the requests that its handlers get. */
struct frontend_fixture
{
    explicit frontend_fixture(
        const http_frontend_settings& settings = make_settings())
        : frontend(settings)
    {
        const auto handler = [this](const http_request& request)
        {
            ++handler_calls;
            return http_response{200, "got " + std::string(request.body)};
        };
        frontend.add_post_handler("/", handler);
        frontend.add_get_handler("/", handler);
        frontend.set_refusal_handler(
            [](int status) {
                return http_response{
                    status, "refused " + std::to_string(status)};
            });
        const auto started = frontend.start();
        REQUIRE(started);
        port = *started;
    }

    /** Sends bytes and returns all that comes until the connection closes. */
    std::string send(const std::string& text) const
    {
        raw_caller caller(port);
        caller.send(text);
        return caller.read_until_closed();
    }

    http_frontend frontend;
    std::uint16_t port = 0;
    std::atomic<int> handler_calls = 0;
};

bool is_refusal(const std::string& response, int status)
{
    const auto number = std::to_string(status);
    return response.starts_with("HTTP/1.1 " + number + ' ') &&
           response.ends_with("refused " + number);
}

std::string repeat(const std::string& text, int count)
{
    std::string all;
    for (int n = 0; n < count; ++n)
        all += text;
    return all;
}

const std::string get_line = "GET / HTTP/1.1\r\n";
const std::string post_line = "POST / HTTP/1.1\r\n";

} // namespace

// Guards against heads that the HTTP library reads without end.
TEST_CASE("a head over a limit is refused and its connection closed")
{
    const frontend_fixture fixture;
    CHECK(is_refusal(fixture.send("GET /" + std::string(1100, 't')), 431));
    CHECK(is_refusal(
        fixture.send(get_line + "x: " + std::string(1100, 'y')), 431));
    CHECK(
        is_refusal(fixture.send(get_line + repeat("a:\r\n", 6) + "\r\n"), 431));
    CHECK(fixture.handler_calls == 0);
}

// Guards against a connection that keeps its thread with empty lines.
TEST_CASE("some empty lines before a request are skipped, many refused")
{
    const frontend_fixture fixture;
    const auto request = get_line + "Connection: close\r\n\r\n";
    CHECK(fixture.send("\r\n\r\n" + request).starts_with("HTTP/1.1 200 "));
    CHECK(is_refusal(fixture.send(repeat("\r\n", 3) + request), 400));
    CHECK(fixture.handler_calls == 1);
}

// Guards against bodies whose length the HTTP library does not check.
TEST_CASE("a body over the limit is refused, whatever its coding")
{
    const frontend_fixture fixture;
    CHECK(is_refusal(
        fixture.send(post_line + "Content-Length: 1000000000000\r\n\r\n"),
        413));
    const auto chunked = post_line + "Transfer-Encoding: chunked\r\n\r\n";
    const auto chunk = "64\r\n" + std::string(100, 'x') + "\r\n";
    CHECK(is_refusal(fixture.send(chunked + repeat(chunk, 100)), 413));
    CHECK(is_refusal(
        fixture.send(chunked + "1;" + std::string(10000, 'e')), 413));
    raw_caller large_caller(fixture.port);
    large_caller.send(chunked + repeat(chunk, 11) + "0\r\n\r\n");
    CHECK(large_caller.read_status() == "413");
    CHECK(fixture.handler_calls == 0);
    // A proper body of the largest size in the smallest chunks.
    raw_caller caller(fixture.port);
    caller.send(chunked + repeat("1\r\nx\r\n", 1000) + "0\r\n\r\n");
    CHECK(caller.read_status() == "200");
}

// Guards against a small body that is unpacked to a large one.
TEST_CASE("a compressed body is refused")
{
    const frontend_fixture fixture;
    CHECK(is_refusal(
        fixture.send(
            post_line + "content-encoding: gzip\r\nContent-Length: 5\r\n\r\n"),
        415));
    CHECK(fixture.handler_calls == 0);
}

// Guards against a response that is copied once for each requested range.
TEST_CASE("ranges of a response are not served")
{
    const frontend_fixture fixture;
    const auto response = fixture.send(
        get_line + "Range: bytes=0-,0-,0-,0-\r\nConnection: close\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 200 "));
    CHECK(response.ends_with("\r\n\r\ngot "));
}

// Guards against callers that occupy a thread with single bytes.
TEST_CASE("a request that does not arrive in time is refused")
{
    auto settings = make_settings();
    settings.limits.request_timeout = std::chrono::milliseconds(10);
    const frontend_fixture fixture(settings);
    CHECK(is_refusal(fixture.send(get_line), 408));
    CHECK(is_refusal(
        fixture.send(post_line + "Content-Length: 10\r\n\r\nx"), 408));
    CHECK(fixture.handler_calls == 0);
}

// Guards against silent connections that keep all threads.
TEST_CASE("an idle connection gives its thread to one that waits")
{
    auto settings = make_settings();
    // A connection that becomes idle while another waits is closed after this.
    settings.limits.busy_idle_timeout = std::chrono::milliseconds(10);
    const frontend_fixture fixture(settings);
    raw_caller used_caller(fixture.port);
    used_caller.send(get_line + "\r\n");
    CHECK(used_caller.read_status() == "200");
    raw_caller silent_caller(fixture.port);
    raw_caller third_caller(fixture.port);
    third_caller.send(get_line + "\r\n");
    CHECK(third_caller.read_status() == "200");
}

// Guards against connections that use up the descriptors of the process.
TEST_CASE("a connection above the limit is closed at once")
{
    auto settings = make_settings();
    settings.threads = 1;
    settings.max_connections = 2;
    std::latch handler_started(1);
    std::latch handler_release(1);
    http_frontend frontend(settings);
    frontend.add_get_handler(
        "/",
        [&](const http_request&)
        {
            handler_started.count_down();
            handler_release.wait();
            return http_response{200, "done"};
        });
    const auto port = frontend.start();
    REQUIRE(port);
    raw_caller first_caller(*port);
    first_caller.send(get_line + "Connection: close\r\n\r\n");
    handler_started.wait();
    raw_caller waiting_caller(*port);
    raw_caller refused_caller(*port);
    CHECK(refused_caller.read_until_closed().empty());
    handler_release.count_down();
    CHECK(first_caller.read_until_closed().ends_with("done"));
    waiting_caller.send(get_line + "\r\n");
    CHECK(waiting_caller.read_status() == "200");
}

// Guards against requests within their limits that together exhaust the memory.
TEST_CASE("a request is refused when the memory for requests is used up")
{
    auto settings = make_settings();
    settings.max_memory_bytes = 1000;
    const frontend_fixture fixture(settings);
    const auto head = post_line + "Content-Length: 900\r\n\r\n";
    CHECK(is_refusal(fixture.send(head + std::string(899, 'x')), 503));
    CHECK(fixture.handler_calls == 0);
    raw_caller caller(fixture.port);
    caller.send(post_line + "Content-Length: 10\r\n\r\n0123456789");
    CHECK(caller.read_status() == "200");
}
