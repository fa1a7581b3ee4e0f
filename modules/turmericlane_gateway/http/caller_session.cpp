#include "caller_session.h"

#include <boost/asio/write.hpp>

#include <cassert>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** How long a closed connection's unread bytes are discarded, so that the
    answer is not lost by a reset. */
constexpr auto discard_time = 1s;
/** An answer that a caller does not read for this time is given up. */
constexpr auto write_time = 10s;
/** Bytes of a next request that are taken while one is handled. */
constexpr std::size_t max_ahead_bytes = 64U << 10U;
constexpr std::size_t read_bytes = 16U << 10U;

std::array<char, read_bytes>& read_buffer()
{
    static thread_local std::array<char, read_bytes> made;
    return made;
}

} // namespace

caller_session::caller_session(
    tcp_socket socket, session_handler& handler, const clock& time)
    : socket_(std::move(socket))
    , handler_(handler)
    , clock_(time)
    , since_(time.now())
{
}

void caller_session::start()
{
    boost::system::error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    socket_.non_blocking(true, ec);
    start_parser();
    read();
}

void caller_session::respond(
    unsigned status, std::string_view fields, std::string_view body, bool close)
{
    if (state_ == state::closed)
        return;
    assert(state_ == state::handling);
    state_ = state::writing;
    since_ = clock_.now();
    const auto last = close || !keep_alive_ || handler_.closing();
    outgoing_.clear();
    outgoing_.append("HTTP/1.1 ");
    outgoing_.append(std::to_string(status));
    outgoing_.append(" ");
    outgoing_.append(reason_phrase(status));
    outgoing_.append("\r\n");
    outgoing_.append(fields);
    if (last)
        append_field(outgoing_, "Connection", "close");
    if (status != 204 && status != 304)
        append_field(outgoing_, "Content-Length", std::to_string(body.size()));
    outgoing_.append("\r\n");
    if (!head_ && status != 204 && status != 304)
        outgoing_.append(body);
    boost::asio::async_write(
        socket_, boost::asio::buffer(outgoing_),
        [self = shared_from_this(),
         last](boost::system::error_code ec, std::size_t)
        { self->on_written(ec, last); });
}

bool caller_session::sweep()
{
    const auto now = clock_.now();
    const auto spent = now - since_;
    switch (state_)
    {
    case state::idle:
        if (spent >= handler_.limits().idle_timeout)
            close();
        break;
    case state::reading:
        if (spent >= handler_.limits().idle_timeout ||
            (spent >= handler_.limits().header_timeout &&
             !parser_->is_header_done()))
            refuse(408);
        break;
    case state::writing:
        if (spent >= write_time)
            close();
        break;
    case state::draining:
        if (spent >= discard_time)
            close();
        break;
    case state::handling:
    case state::closed:
        break;
    }
    return state_ != state::closed;
}

duration caller_session::travel_time()
{
    tcp_info measured{};
    socklen_t size = sizeof(measured);
    const auto failed = getsockopt(
        socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &measured, &size);
    if (failed != 0)
        return duration::zero();
    const auto trips = first_ ? 2 : 1;
    return std::chrono::microseconds(measured.tcpi_rtt) * trips;
}

void caller_session::close_if_idle()
{
    if (state_ == state::idle)
        close();
}

void caller_session::read()
{
    socket_.async_wait(
        tcp_socket::wait_read,
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (self->state_ == state::closed)
                return;
            std::size_t n = 0;
            if (!ec)
                n = self->socket_.read_some(
                    boost::asio::buffer(read_buffer()), ec);
            if (ec && ec != boost::asio::error::would_block)
            {
                const auto left = self->state_ == state::handling;
                self->close();
                if (left)
                    self->handler_.on_caller_left(*self);
                return;
            }
            if (n > 0)
                self->take(n);
            if (self->state_ == state::closed)
                return;
            self->paused_ = self->incoming_.size() > max_ahead_bytes;
            if (!self->paused_)
                self->read();
        });
}

void caller_session::take(std::size_t size)
{
    if (state_ == state::draining)
        return;
    incoming_.append(read_buffer().data(), size);
    if (state_ == state::idle)
    {
        state_ = state::reading;
        since_ = clock_.now();
    }
    if (state_ == state::reading)
        parse();
}

void caller_session::start_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(handler_.limits().header_bytes);
    parser_->body_limit(handler_.limits().body_bytes);
}

void caller_session::parse()
{
    while (!incoming_.empty() && !parser_->is_done())
    {
        boost::system::error_code ec;
        const auto n = parser_->put(boost::asio::buffer(incoming_), ec);
        incoming_.erase(0, n);
        if (ec == boost::beast::http::error::need_more)
        {
            // The limit counts only parsed bytes; it holds for unparsed ones
            // too.
            if (!parser_->is_header_done() &&
                incoming_.size() > handler_.limits().header_bytes)
                refuse(431);
            return;
        }
        if (ec)
        {
            on_parse_error(ec);
            return;
        }
        if (n == 0)
            return;
    }
    if (!parser_->is_done())
        return;
    auto message = parser_->release();
    parser_.reset();
    caller_request made;
    const auto method = message.method_string();
    made.method.assign(method.data(), method.size());
    made.target.assign(message.target().data(), message.target().size());
    made.body = std::move(message.body());
    keep_alive_ = message.keep_alive();
    head_ = message.method() == boost::beast::http::verb::head;
    made.fields = std::move(static_cast<boost::beast::http::fields&>(message));
    state_ = state::handling;
    handler_.on_request(shared_from_this(), std::move(made));
}

void caller_session::on_parse_error(boost::system::error_code ec)
{
    if (ec == boost::beast::http::error::header_limit)
        refuse(431);
    else if (ec == boost::beast::http::error::body_limit)
        refuse(413);
    else
        refuse(400);
}

void caller_session::refuse(unsigned status)
{
    handler_.on_bad_request(status);
    state_ = state::handling;
    head_ = false;
    respond(status, {}, {}, true);
}

void caller_session::on_written(boost::system::error_code ec, bool close_after)
{
    if (state_ == state::closed)
        return;
    if (ec)
    {
        close();
        return;
    }
    since_ = clock_.now();
    first_ = false;
    if (close_after)
    {
        state_ = state::draining;
        socket_.shutdown(tcp_socket::shutdown_send, ec);
        return;
    }
    state_ = incoming_.empty() ? state::idle : state::reading;
    start_parser();
    if (state_ == state::reading)
        parse();
    if (paused_ && state_ != state::closed)
    {
        paused_ = false;
        read();
    }
}

void caller_session::close()
{
    state_ = state::closed;
    boost::system::error_code ec;
    socket_.close(ec);
}

} // namespace turmericlane
