#include "peer_client.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace turmericlane
{

peer_client::peer_client(
    boost::asio::io_context& context,
    const peer_settings& settings,
    tcp::endpoint to,
    session_maker make,
    std::function<void()> failed)
    : context_(context)
    , settings_(settings)
    , to_(std::move(to))
    , make_(std::move(make))
    , failed_(std::move(failed))
    , socket_(context)
    , timer_(context)
    , pause_(settings.reconnect_first)
    , random_(std::random_device()())
{
}

void peer_client::start()
{
    boost::asio::post(
        context_, [self = shared_from_this()] { self->connect(); });
}

void peer_client::stop()
{
    boost::asio::post(
        context_,
        [self = shared_from_this()]
        {
            self->stopped_ = true;
            self->timer_.cancel();
            boost::system::error_code ignored;
            self->socket_.close(ignored);
            if (self->session_)
                self->session_->finish();
        });
}

void peer_client::connect()
{
    if (stopped_)
        return;
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.expires_after(settings_.connect_timeout);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            boost::system::error_code also_ignored;
            if (!ec)
                self->socket_.close(also_ignored);
        });
    socket_.async_connect(
        to_,
        [self = shared_from_this()](boost::system::error_code ec)
        {
            self->timer_.cancel();
            if (self->stopped_)
                return;
            // The timer may have closed the socket after it was connected.
            if (ec || !self->socket_.is_open())
                return self->on_failed();
            self->on_connected();
        });
}

void peer_client::on_connected()
{
    session_ = make_(std::move(socket_));
    socket_ = tcp::socket(context_);
    if (!session_)
        return on_failed();
    session_->set_on_end([self = shared_from_this()](bool was_open)
                         { self->on_session_end(was_open); });
    session_->start();
}

void peer_client::on_failed()
{
    failed_();
    connect_later();
}

void peer_client::on_session_end(bool was_open)
{
    session_ = nullptr;
    if (was_open)
        pause_ = settings_.reconnect_first;
    if (!stopped_)
        connect_later();
}

void peer_client::connect_later()
{
    using milliseconds = std::chrono::milliseconds;
    // Without jitter all instances would connect to a restarted one at once.
    std::uniform_int_distribution<milliseconds::rep> draw(
        pause_.count() / 2, pause_.count());
    timer_.expires_after(milliseconds(draw(random_)));
    pause_ = std::min(2 * pause_, settings_.reconnect_longest);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec)
                self->connect();
        });
}

} // namespace turmericlane
