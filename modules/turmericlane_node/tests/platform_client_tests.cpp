#include "../platform/platform_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <future>

using namespace turmericlane;
using boost::asio::ip::tcp;

namespace
{

/** Reads from a service that sends a text and closes the connection. */
platform_answer read_answer(const std::string& text)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    platform_client client({"127.0.0.1", acceptor.local_endpoint().port()});
    client.start();
    std::promise<platform_answer> promise;
    client.get(
        "/v1/instances", std::chrono::seconds(20),
        [&promise](platform_answer answer)
        { promise.set_value(std::move(answer)); });
    {
        tcp::socket accepted = acceptor.accept();
        std::string request;
        boost::asio::read_until(
            accepted, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(accepted, boost::asio::buffer(text));
    }
    return promise.get_future().get();
}

} // namespace

// Guards against a list of instances that is cut short, and against an error
// without a reason.
TEST_CASE("an answer of a service that is not HTTP is an error")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const std::string& text : std::vector<std::string>{
             "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n[]",
             "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\n[]",
             ok + "Content-Length : 99\r\n\r\n[]",
             ok + "Content Length: 99\r\n\r\n[]",
             ok + "Content-Length: 99\n\r\n[]",
             ok + "Content-Length: 2\r\nX-Odd\x01: 1\r\n\r\n[]",
             ok + "Transfer-Encoding: gzip\r\n\r\n[]",
             ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n[]?\r\n"})
    {
        CAPTURE(text);
        const auto answer = read_answer(text);
        CHECK(answer.status == 0);
        CHECK(answer.body.empty());
        CHECK_FALSE(answer.error.empty());
    }
    const auto answer = read_answer(ok + "Content-Length: 2\r\n\r\n[]");
    CHECK(answer.status == 200);
    CHECK(answer.body == "[]");
    CHECK(answer.error.empty());
}

TEST_CASE("stop cancels a running long poll")
{
    // Guards against a shutdown that waits for the configuration service.
    boost::asio::io_context context;
    tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    platform_client client({"127.0.0.1", acceptor.local_endpoint().port()});
    client.start();
    platform_answer received_answer;
    received_answer.status = -1;
    client.get(
        "/v1/bundle", std::chrono::hours(1),
        [&received_answer](platform_answer answer)
        { received_answer = std::move(answer); });
    tcp::socket accepted = acceptor.accept();
    client.stop();
    CHECK(received_answer.status == 0);
    CHECK_FALSE(received_answer.error.empty());
}

TEST_CASE("a stop while a request is written does not end the process")
{
    // Guards against SIGPIPE from a connection that stop() has shut down.
    boost::asio::io_context context;
    tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    for (int i = 0; i < 200; ++i)
    {
        platform_client client({"127.0.0.1", acceptor.local_endpoint().port()});
        client.start();
        int answers = 0;
        client.get(
            "/v1/bundle", std::chrono::hours(1),
            [&answers](const platform_answer&) { ++answers; });
        tcp::socket accepted = acceptor.accept();
        client.stop();
        CHECK(answers == 1);
    }
}

TEST_CASE("stop without a read returns")
{
    platform_client client({"127.0.0.1", 1});
    client.start();
    client.stop();
    client.stop();
}
