#include "feed_puller.h"

#include "feed_body.h"

#include <cassert>

namespace turmericlane
{

namespace
{

/** Peers answer from memory; one that takes longer has failed. */
constexpr auto pull_timeout = std::chrono::milliseconds(700);

constexpr unsigned ok_status = 200;

} // namespace

feed_puller::feed_puller(event_context& loop, pull_listener& listener)
    : loop_(loop)
    , listener_(listener)
    , timer_(loop.get_executor())
{
}

feed_puller::~feed_puller()
{
    close_connection();
}

void feed_puller::pull(const endpoint& peer, std::uint64_t revision)
{
    assert(!connection_);
    request_text_ = "GET " + std::string(feed_path) +
                    "?after=" + std::to_string(revision) + " HTTP/1.1\r\n";
    append_field(request_text_, "Host", peer.address);
    append_field(request_text_, "Connection", "close");
    request_text_ += "\r\n";
    timer_.expires_after(pull_timeout);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
                fail();
        });
    connection_ = std::make_shared<client_connection>(
        loop_, static_cast<client_listener&>(*this));
    connection_->open(peer.address, peer.peer_port);
}

void feed_puller::fail()
{
    if (!connection_)
        return;
    close_connection();
    listener_.pull_failed();
}

void feed_puller::close_connection()
{
    timer_.cancel();
    if (connection_)
        connection_->close();
    connection_.reset();
}

void feed_puller::on_open(client_connection& connection)
{
    connection.send(std::move(request_text_), true);
}

void feed_puller::on_response(client_connection&, server_response&& response)
{
    const auto payload = response.status == ok_status
                             ? decompress_body(response.body)
                             : std::nullopt;
    const auto message =
        payload ? decode_message<feed_message>(*payload) : std::nullopt;
    if (!message)
    {
        fail();
        return;
    }
    close_connection();
    listener_.pull_succeeded(message->body);
}

void feed_puller::on_end(client_connection&, connection_end)
{
    fail();
}

} // namespace turmericlane
