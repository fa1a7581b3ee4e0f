#include "peer_client.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace turmericlane
{

peer_client::peer_client(
    boost::asio::io_context& context,
    const peer_settings& settings,
    tcp::endpoint endpoint,
    session_factory create_session,
    std::function<void()> failure_handler)
    : context_(context)
    , settings_(settings)
    , endpoint_(std::move(endpoint))
    , create_session_(std::move(create_session))
    , failure_handler_(std::move(failure_handler))
    , socket_(context)
    , timer_(context)
    , reconnect_delay_(settings.initial_reconnect_delay)
    , random_engine_(std::random_device()())
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
            self->is_stopped_ = true;
            self->timer_.cancel();
            boost::system::error_code ignored_ec;
            self->socket_.close(ignored_ec);
            if (self->session_)
                self->session_->close_after_writes();
        });
}

void peer_client::connect()
{
    if (is_stopped_)
        return;
    boost::system::error_code ignored_ec;
    socket_.close(ignored_ec);
    timer_.expires_after(settings_.connect_timeout);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            boost::system::error_code close_ec;
            if (!ec)
                self->socket_.close(close_ec);
        });
    socket_.async_connect(
        endpoint_,
        [self = shared_from_this()](boost::system::error_code ec)
        {
            self->timer_.cancel();
            if (self->is_stopped_)
                return;
            // The timer may have closed the socket after the connect succeeded.
            if (ec || !self->socket_.is_open())
                return self->on_connect_failed();
            self->on_connected();
        });
}

void peer_client::on_connected()
{
    session_ = create_session_(std::move(socket_));
    socket_ = tcp::socket(context_);
    if (!session_)
        return on_connect_failed();
    session_->set_close_handler([self = shared_from_this()](bool was_open)
                                { self->on_session_closed(was_open); });
    session_->start();
}

void peer_client::on_connect_failed()
{
    failure_handler_();
    schedule_reconnect();
}

void peer_client::on_session_closed(bool was_open)
{
    session_ = nullptr;
    if (was_open)
        reconnect_delay_ = settings_.initial_reconnect_delay;
    if (!is_stopped_)
        schedule_reconnect();
}

void peer_client::schedule_reconnect()
{
    using milliseconds = std::chrono::milliseconds;
    // Without jitter all instances would reconnect to a restarted one at the
    // same time.
    std::uniform_int_distribution<milliseconds::rep> distribution(
        reconnect_delay_.count() / 2, reconnect_delay_.count());
    timer_.expires_after(milliseconds(distribution(random_engine_)));
    reconnect_delay_ =
        std::min(2 * reconnect_delay_, settings_.max_reconnect_delay);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec)
                self->connect();
        });
}

} // namespace turmericlane
