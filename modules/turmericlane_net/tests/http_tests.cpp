#include "recording_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <latch>
#include <thread>

using namespace turmericlane;

namespace
{

http_frontend_settings make_settings()
{
    http_frontend_settings settings;
    settings.host = "127.0.0.1";
    settings.threads = 4;
    settings.limits.max_body_bytes = 1000;
    // Longer than a test waits: a stop that waits for an idle connection makes
    // the test fail.
    settings.limits.idle_timeout = 10 * test_timeout;
    return settings;
}

/** An HTTP client on a blocking socket. */
class caller
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit caller(std::uint16_t port)
    {
        socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    void post(const std::string& path, const std::string& body)
    {
        auto request_text = "POST " + path +
                            " HTTP/1.1\r\nHost: a\r\nX-Name: value\r\n"
                            "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(socket_, boost::asio::buffer(request_text));
    }

    void get(const std::string& path)
    {
        auto request_text = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::asio::write(socket_, boost::asio::buffer(request_text));
    }

    /** Returns the status and the body of a response, such as "200 text", or
        the message of a read error. */
    std::string read_response()
    {
        boost::system::error_code ec;
        auto head_size = boost::asio::read_until(
            socket_, boost::asio::dynamic_buffer(receive_buffer_), "\r\n\r\n",
            ec);
        if (ec)
            return ec.message();
        auto head = receive_buffer_.substr(0, head_size);
        receive_buffer_.erase(0, head_size);
        auto pos = head.find("Content-Length: ");
        std::size_t size = 0;
        if (pos != std::string::npos)
            size = std::strtoul(&head[pos + 16], nullptr, 10);
        while (receive_buffer_.size() < size && !ec)
            boost::asio::read(
                socket_, boost::asio::dynamic_buffer(receive_buffer_),
                boost::asio::transfer_exactly(size - receive_buffer_.size()),
                ec);
        auto body = receive_buffer_.substr(0, size);
        receive_buffer_.erase(0, size);
        return head.substr(9, 3) + " " + body;
    }

private:
    boost::asio::io_context context_;
    tcp::socket socket_{context_};
    std::string receive_buffer_;
};

} // namespace

TEST_CASE("one connection serves many requests")
{
    http_frontend frontend(make_settings());
    frontend.add_post_handler(
        "/v1/search",
        [](const http_request& request)
        {
            return http_response{
                200, std::string(request.body) + request.header("X-Name") +
                         request.header("X-None")};
        });
    frontend.add_get_handler(
        "/v1/status",
        [](const http_request& request) {
            return http_response{200, request.parameter("n")};
        });
    auto port = frontend.start();
    REQUIRE(port);
    caller client(*port);
    for (int n = 0; n < 20; ++n)
    {
        client.post("/v1/search", "body ");
        CHECK(client.read_response() == "200 body value");
        client.get("/v1/status?n=5");
        CHECK(client.read_response() == "200 5");
    }
}

TEST_CASE("unknown paths and large bodies are refused with a body")
{
    http_frontend frontend(make_settings());
    std::atomic<int> handler_calls = 0;
    frontend.add_post_handler(
        "/v1/search",
        [&](const http_request&)
        {
            ++handler_calls;
            return http_response{429, "own refusal"};
        });
    frontend.set_refusal_handler(
        [](int status) {
            return http_response{status, "refused " + std::to_string(status)};
        });
    auto port = frontend.start();
    REQUIRE(port);
    caller client(*port);
    client.post("/v1xsearch", "");
    CHECK(client.read_response() == "404 refused 404");
    client.post("/v1/search/more", "");
    CHECK(client.read_response() == "404 refused 404");
    client.get("/v1/search");
    CHECK(client.read_response() == "404 refused 404");
    client.post("/v1/search", std::string(1000, 'x'));
    CHECK(client.read_response() == "429 own refusal");
    caller second_client(*port);
    second_client.post("/v1/search", std::string(1001, 'x'));
    CHECK(second_client.read_response() == "413 refused 413");
    CHECK(handler_calls == 1);
}

TEST_CASE("a stop lets a running handler answer and closes idle connections")
{
    std::latch handler_started(1);
    std::latch handler_release(1);
    http_frontend frontend(make_settings());
    frontend.add_post_handler(
        "/v1/search",
        [&](const http_request&)
        {
            handler_started.count_down();
            handler_release.wait();
            return http_response{200, "whole"};
        });
    frontend.add_get_handler(
        "/",
        [](const http_request&) {
            return http_response{200, "idle"};
        });
    auto port = frontend.start();
    REQUIRE(port);
    caller idle_caller(*port);
    idle_caller.get("/");
    CHECK(idle_caller.read_response() == "200 idle");
    caller busy_caller(*port);
    busy_caller.post("/v1/search", "{}");
    handler_started.wait();
    CHECK(frontend.requests_in_flight() == 1);
    auto stop_result = std::async(std::launch::async, [&] { frontend.stop(); });
    // The idle connection is closed while the handler is still running.
    CHECK(idle_caller.read_response() != "200 idle");
    CHECK(frontend.requests_in_flight() == 1);
    handler_release.count_down();
    CHECK(busy_caller.read_response() == "200 whole");
    CHECK(stop_result.wait_for(test_timeout) == std::future_status::ready);
    CHECK(frontend.requests_in_flight() == 0);
    CHECK_THROWS(caller{*port});
}

TEST_CASE("a start fails for a host name and for a port in use")
{
    auto settings = make_settings();
    settings.host = "localhost";
    http_frontend frontend_by_name(settings);
    auto start_result = frontend_by_name.start();
    REQUIRE_FALSE(start_result);
    CHECK(start_result.error().find("localhost") != std::string::npos);

    http_frontend first_frontend(make_settings());
    auto port = first_frontend.start();
    REQUIRE(port);
    settings = make_settings();
    settings.port = *port;
    http_frontend second_frontend(settings);
    CHECK_FALSE(second_frontend.start());
}

TEST_CASE("a handler that throws is answered with status 500")
{
    http_frontend frontend(make_settings());
    frontend.add_get_handler(
        "/",
        [](const http_request&) -> http_response
        { throw std::runtime_error("fault"); });
    auto port = frontend.start();
    REQUIRE(port);
    caller client(*port);
    client.get("/");
    CHECK(client.read_response().starts_with("500"));
}

// Guards against answers that are lost because the connection is closed with
// unread bytes, which resets it.
TEST_CASE("a stop doesn't lose an answer on its way to a caller that sends")
{
    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    constexpr std::size_t body_bytes = 200000;
    std::latch handler_started(1);
    std::latch handler_release(1);
    http_frontend frontend(make_settings());
    frontend.add_get_handler(
        "/",
        [&](const http_request&)
        {
            handler_started.count_down();
            handler_release.wait();
            return http_response{200, std::string(body_bytes, 'x')};
        });
    auto port = frontend.start();
    REQUIRE(port);
    asio::io_context context;
    tcp::socket socket(context);
    socket.open(tcp::v4());
    // The answer doesn't fit into the caller's buffer.
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect({asio::ip::make_address("127.0.0.1"), *port});
    const std::string text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::write(socket, asio::buffer(text));
    handler_started.wait();
    // More than the server reads at once.
    asio::write(socket, asio::buffer(std::string(50000, 'x')));
    auto stop_result = std::async(std::launch::async, [&] { frontend.stop(); });
    handler_release.count_down();
    stop_result.wait();
    std::string answer;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    CHECK(ec == asio::error::eof);
    CHECK(answer.size() > body_bytes);
}
