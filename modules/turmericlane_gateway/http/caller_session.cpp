#include "caller_session.h"

#include <boost/asio/write.hpp>

#include <cassert>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time for which bytes from the caller are read and discarded after the last
    answer: bytes that are unread when a connection is closed, or arrive
    afterwards, reset it, which loses what the caller's system hasn't got. */
constexpr auto discard_timeout = 1s;
/** Time within which a caller has to read its answer, and again the part of
    the last answer that the gateway's system holds. */
constexpr auto write_timeout = 10s;
/** Bytes of further requests that are read while one is being handled. */
constexpr std::size_t max_pipelined_bytes = 64U << 10U;
constexpr std::size_t read_buffer_bytes = 16U << 10U;

std::array<char, read_buffer_bytes>& read_buffer()
{
    static thread_local std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

/** Returns a count of bytes that the system keeps for a socket; 0 on error. */
int queued_bytes(int socket, unsigned long request)
{
    int count = 0;
    return ::ioctl(socket, request, &count) == 0 ? count : 0;
}

} // namespace

caller_session::caller_session(
    tcp_socket socket, session_handler& handler, const clock& time)
    : socket_(std::move(socket))
    , handler_(handler)
    , clock_(time)
    , state_start_(time.now())
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
    unsigned status,
    std::string_view fields,
    std::string_view body,
    bool must_close)
{
    if (state_ == state::closed)
        return;
    assert(state_ == state::handling);
    state_ = state::writing;
    state_start_ = clock_.now();
    const auto is_last_response =
        must_close || !is_keep_alive_ || handler_.is_closing();
    response_text_.clear();
    response_text_.append("HTTP/1.1 ");
    response_text_.append(std::to_string(status));
    response_text_.append(" ");
    response_text_.append(reason_phrase(status));
    response_text_.append("\r\n");
    response_text_.append(fields);
    if (is_last_response)
        append_field(response_text_, "Connection", "close");
    if (status != 204 && status != 304)
        append_field(
            response_text_, "Content-Length", std::to_string(body.size()));
    response_text_.append("\r\n");
    if (!is_head_request_ && status != 204 && status != 304)
        response_text_.append(body);
    boost::asio::async_write(
        socket_, boost::asio::buffer(response_text_),
        [self = shared_from_this(),
         is_last_response](boost::system::error_code ec, std::size_t)
        { self->on_written(ec, is_last_response); });
}

bool caller_session::sweep()
{
    const auto now = clock_.now();
    const auto time_in_state = now - state_start_;
    switch (state_)
    {
    case state::idle:
        if (time_in_state >= handler_.limits().idle_timeout)
            close_if_idle();
        break;
    case state::reading:
        if (time_in_state >= handler_.limits().idle_timeout ||
            (time_in_state >= handler_.limits().header_timeout &&
             !parser_->is_header_done()))
            refuse(408);
        break;
    case state::writing:
        if (time_in_state >= write_timeout)
            close();
        break;
    case state::draining:
        if (time_in_state >= write_timeout ||
            (time_in_state >= discard_timeout && !has_unacknowledged_bytes()))
            close();
        break;
    case state::handling:
    case state::closed:
        break;
    }
    return state_ != state::closed;
}

duration caller_session::round_trip_time()
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const auto error = getsockopt(
        socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
    if (error != 0)
        return duration::zero();
    const auto round_trips = is_first_request_ ? 2 : 1;
    return std::chrono::microseconds(info.tcpi_rtt) * round_trips;
}

void caller_session::close_if_idle()
{
    if (state_ != state::idle || has_unread_bytes())
        return;
    if (has_unacknowledged_bytes())
        discard();
    else
        close();
}

bool caller_session::must_stay()
{
    switch (state_)
    {
    case state::handling:
    case state::writing:
        return true;
    case state::idle:
    case state::reading:
        return has_unread_bytes();
    case state::draining:
        return has_unacknowledged_bytes();
    case state::closed:
        break;
    }
    return false;
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
                const auto was_handling = self->state_ == state::handling;
                self->close();
                if (was_handling)
                    self->handler_.on_caller_left(*self);
                return;
            }
            if (n > 0)
                self->on_bytes_read(n);
            if (self->state_ == state::closed)
                return;
            self->is_reading_paused_ =
                self->unparsed_bytes_.size() > max_pipelined_bytes;
            if (!self->is_reading_paused_)
                self->read();
        });
}

void caller_session::on_bytes_read(std::size_t size)
{
    if (state_ == state::draining)
        return;
    unparsed_bytes_.append(read_buffer().data(), size);
    if (state_ == state::idle)
    {
        state_ = state::reading;
        state_start_ = clock_.now();
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
    while (!unparsed_bytes_.empty() && !parser_->is_done())
    {
        boost::system::error_code ec;
        const auto n = parser_->put(boost::asio::buffer(unparsed_bytes_), ec);
        unparsed_bytes_.erase(0, n);
        if (ec == boost::beast::http::error::need_more)
        {
            // The parser applies its limit only to the bytes that it has
            // parsed.
            if (!parser_->is_header_done() &&
                unparsed_bytes_.size() > handler_.limits().header_bytes)
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
    caller_request request;
    const auto method = message.method_string();
    request.method.assign(method.data(), method.size());
    request.target.assign(message.target().data(), message.target().size());
    request.body = std::move(message.body());
    is_keep_alive_ = message.keep_alive();
    is_head_request_ = message.method() == boost::beast::http::verb::head;
    request.fields =
        std::move(static_cast<boost::beast::http::fields&>(message));
    state_ = state::handling;
    handler_.on_request(shared_from_this(), std::move(request));
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
    is_head_request_ = false;
    respond(status, {}, {}, true);
}

void caller_session::on_written(boost::system::error_code ec, bool must_close)
{
    if (state_ == state::closed)
        return;
    if (ec)
    {
        close();
        return;
    }
    state_start_ = clock_.now();
    is_first_request_ = false;
    if (must_close)
    {
        discard();
        return;
    }
    state_ = unparsed_bytes_.empty() ? state::idle : state::reading;
    start_parser();
    if (state_ == state::reading)
        parse();
    if (is_reading_paused_ && state_ != state::closed)
    {
        is_reading_paused_ = false;
        read();
    }
}

void caller_session::discard()
{
    state_ = state::draining;
    state_start_ = clock_.now();
    unparsed_bytes_.clear();
    boost::system::error_code ec;
    socket_.shutdown(tcp_socket::shutdown_send, ec);
    if (std::exchange(is_reading_paused_, false))
        read();
}

void caller_session::close()
{
    state_ = state::closed;
    boost::system::error_code ec;
    socket_.close(ec);
}

bool caller_session::has_unread_bytes()
{
    return queued_bytes(socket_.native_handle(), SIOCINQ) > 0;
}

bool caller_session::has_unacknowledged_bytes()
{
    // Counts the end of the stream as one byte.
    return queued_bytes(socket_.native_handle(), SIOCOUTQ) > 0;
}

} // namespace turmericlane
