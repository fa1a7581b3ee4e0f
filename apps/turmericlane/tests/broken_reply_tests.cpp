#include "instance_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace turmericlane;
using boost::asio::ip::tcp;

namespace
{

/** Sends a request to an instance that sends a text and closes the
    connection. */
result<call_reply, call_error> exchange(const std::string& text, bool is_post)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    std::thread instance(
        [&]
        {
            tcp::socket accepted = acceptor.accept();
            std::string request;
            boost::asio::read_until(
                accepted, boost::asio::dynamic_buffer(request),
                is_post ? "{}" : "\r\n\r\n");
            boost::asio::write(accepted, boost::asio::buffer(text));
        });
    const instance_client client(
        {"127.0.0.1", acceptor.local_endpoint().port()},
        std::chrono::seconds(20));
    auto reply = is_post ? client.post("/v1/bookings", nlohmann::json::object())
                         : client.get("/v1/status");
    instance.join();
    return reply;
}

} // namespace

// Guards against a booking that is reported as run, or as not run, because of
// bytes that are not a reply.
TEST_CASE("a reply that is not HTTP is none, and the request may have run")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const std::string& text : std::vector<std::string>{
             "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}",
             "HTTP/1.1 700 Odd\r\nContent-Length: 2\r\n\r\n{}",
             ok + "Content-Length : 99\r\n\r\n{}",
             ok + "Content-Length: 2\r\nX-Odd\x01: 1\r\n\r\n{}",
             ok + "Transfer-Encoding: gzip\r\n\r\n{}",
             ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}?\r\n"})
    {
        for (const auto is_post : {false, true})
        {
            CAPTURE(text);
            const auto reply = exchange(text, is_post);
            REQUIRE_FALSE(reply);
            CHECK_FALSE(reply.error().not_sent);
        }
    }
    const auto reply = exchange(ok + "Content-Length: 2\r\n\r\n{}", true);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(reply->body == "{}");
}
