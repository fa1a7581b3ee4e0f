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

http_front_settings make_settings()
{
    http_front_settings made;
    made.host = "127.0.0.1";
    made.threads = 4;
    made.body_limit_bytes = 1000;
    // Longer than a test waits, so that an idle connection that delays a stop
    // makes the test fail.
    made.keep_alive = 10 * test_timeout;
    return made;
}

/** A caller on a blocking socket. */
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
        auto text = "POST " + path +
                    " HTTP/1.1\r\nHost: a\r\nX-Name: value\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(socket_, boost::asio::buffer(text));
    }

    void get(const std::string& path)
    {
        auto text = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::asio::write(socket_, boost::asio::buffer(text));
    }

    /** Returns the status and the body, such as "200 text". */
    std::string read()
    {
        boost::system::error_code ec;
        auto head_bytes = boost::asio::read_until(
            socket_, boost::asio::dynamic_buffer(received_), "\r\n\r\n", ec);
        if (ec)
            return ec.message();
        auto head = received_.substr(0, head_bytes);
        received_.erase(0, head_bytes);
        auto at = head.find("Content-Length: ");
        std::size_t size = 0;
        if (at != std::string::npos)
            size = std::strtoul(&head[at + 16], nullptr, 10);
        while (received_.size() < size && !ec)
            boost::asio::read(
                socket_, boost::asio::dynamic_buffer(received_),
                boost::asio::transfer_exactly(size - received_.size()), ec);
        auto body = received_.substr(0, size);
        received_.erase(0, size);
        return head.substr(9, 3) + " " + body;
    }

private:
    boost::asio::io_context context_;
    tcp::socket socket_{context_};
    std::string received_;
};

} // namespace

TEST_CASE("one connection serves many requests")
{
    http_front front(make_settings());
    front.on_post(
        "/v1/search",
        [](const http_request& request)
        {
            return http_response{
                200, std::string(request.body) + request.header("X-Name") +
                         request.header("X-None")};
        });
    front.on_get(
        "/v1/status",
        [](const http_request& request) {
            return http_response{200, request.parameter("n")};
        });
    auto port = front.start();
    REQUIRE(port);
    caller client(*port);
    for (int n = 0; n < 20; ++n)
    {
        client.post("/v1/search", "body ");
        CHECK(client.read() == "200 body value");
        client.get("/v1/status?n=5");
        CHECK(client.read() == "200 5");
    }
}

TEST_CASE("unknown paths and large bodies are refused with a body")
{
    http_front front(make_settings());
    std::atomic<int> called = 0;
    front.on_post(
        "/v1/search",
        [&](const http_request&)
        {
            ++called;
            return http_response{429, "own refusal"};
        });
    front.on_refusal(
        [](int status) {
            return http_response{status, "refused " + std::to_string(status)};
        });
    auto port = front.start();
    REQUIRE(port);
    caller client(*port);
    client.post("/v1xsearch", "");
    CHECK(client.read() == "404 refused 404");
    client.post("/v1/search/more", "");
    CHECK(client.read() == "404 refused 404");
    client.get("/v1/search");
    CHECK(client.read() == "404 refused 404");
    client.post("/v1/search", std::string(1000, 'x'));
    CHECK(client.read() == "429 own refusal");
    caller other(*port);
    other.post("/v1/search", std::string(1001, 'x'));
    CHECK(other.read() == "413 refused 413");
    CHECK(called == 1);
}

TEST_CASE("a stop lets a running handler answer and ends idle connections")
{
    std::latch running(1);
    std::latch release(1);
    http_front front(make_settings());
    front.on_post(
        "/v1/search",
        [&](const http_request&)
        {
            running.count_down();
            release.wait();
            return http_response{200, "whole"};
        });
    front.on_get(
        "/",
        [](const http_request&) {
            return http_response{200, "idle"};
        });
    auto port = front.start();
    REQUIRE(port);
    caller idle(*port);
    idle.get("/");
    CHECK(idle.read() == "200 idle");
    caller busy(*port);
    busy.post("/v1/search", "{}");
    running.wait();
    CHECK(front.in_flight() == 1);
    auto stopped = std::async(std::launch::async, [&] { front.stop(); });
    // The idle connection ends while the handler still runs.
    CHECK(idle.read() != "200 idle");
    CHECK(front.in_flight() == 1);
    release.count_down();
    CHECK(busy.read() == "200 whole");
    CHECK(stopped.wait_for(test_timeout) == std::future_status::ready);
    CHECK(front.in_flight() == 0);
    CHECK_THROWS(caller{*port});
}

TEST_CASE("a name or a port in use is refused with a reason")
{
    auto settings = make_settings();
    settings.host = "localhost";
    http_front named(settings);
    auto failed = named.start();
    REQUIRE_FALSE(failed);
    CHECK(failed.error().find("localhost") != std::string::npos);

    http_front first(make_settings());
    auto port = first.start();
    REQUIRE(port);
    settings = make_settings();
    settings.port = *port;
    http_front second(settings);
    CHECK_FALSE(second.start());
}

TEST_CASE("a handler that throws costs one answer with status 500")
{
    http_front front(make_settings());
    front.on_get(
        "/",
        [](const http_request&) -> http_response
        { throw std::runtime_error("fault"); });
    auto port = front.start();
    REQUIRE(port);
    caller client(*port);
    client.get("/");
    CHECK(client.read().starts_with("500"));
}
