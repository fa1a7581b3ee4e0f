#include "../platform/platform_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

using namespace turmericlane;
using boost::asio::ip::tcp;

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
