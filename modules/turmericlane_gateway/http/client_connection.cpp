#include "client_connection.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cassert>

namespace turmericlane
{

namespace
{

/** Unacknowledged bytes end a connection after this time. */
constexpr auto default_acknowledgement_time = std::chrono::milliseconds(2500);
/** Largest answer that is taken, in bytes. */
constexpr std::uint64_t max_body_bytes = 16ULL << 20U;
constexpr std::uint32_t max_header_bytes = 64U << 10U;
constexpr std::size_t read_bytes = 32U << 10U;

/** Shared by all connections of the loop's thread, so that an idle one holds
    no buffer. */
std::array<char, read_bytes>& read_buffer()
{
    static thread_local std::array<char, read_bytes> made;
    return made;
}

connection_end reason_of(boost::system::error_code ec)
{
    return ec == boost::asio::error::timed_out ? connection_end::unacknowledged
                                               : connection_end::closed;
}

} // namespace

client_connection::client_connection(
    event_context& loop, client_listener& listener)
    : socket_(loop.get_executor())
    , listener_(&listener)
{
}

client_connection::~client_connection() = default;

void client_connection::open(const std::string& address, std::uint16_t port)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address, ec);
    if (!ec)
        socket_.open(ip.is_v6() ? tcp::v6() : tcp::v4(), ec);
    auto self = shared_from_this();
    if (ec)
    {
        boost::asio::post(
            socket_.get_executor(),
            [self] { self->end(connection_end::not_opened); });
        return;
    }
    socket_.set_option(tcp::no_delay(true), ec);
    set_acknowledgement_time(default_acknowledgement_time);
    socket_.async_connect(
        tcp::endpoint(ip, port),
        [self](boost::system::error_code failed)
        {
            if (self->listener_ == nullptr)
                return;
            if (failed)
            {
                self->end(connection_end::not_opened);
                return;
            }
            self->open_ = true;
            self->read();
            self->listener_->on_open(*self);
        });
}

void client_connection::send(std::string text, bool body_expected)
{
    assert(idle());
    busy_ = true;
    body_expected_ = body_expected;
    start_parser();
    outgoing_ = std::move(text);
    writing_ = true;
    boost::asio::async_write(
        socket_, boost::asio::buffer(outgoing_),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
            self->writing_ = false;
            if (ec)
                self->end(reason_of(ec));
        });
}

void client_connection::set_acknowledgement_time(duration longest)
{
    const auto span =
        std::chrono::duration_cast<std::chrono::milliseconds>(longest);
    const auto user_timeout_ms = static_cast<unsigned>(span.count());
    // A failure leaves the system's default, which only delays the end.
    setsockopt(
        socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
        &user_timeout_ms, sizeof(user_timeout_ms));
}

void client_connection::expect_another()
{
    busy_ = true;
    start_parser();
}

void client_connection::close()
{
    listener_ = nullptr;
    boost::system::error_code ec;
    socket_.close(ec);
}

void client_connection::start_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(max_body_bytes);
    parser_->header_limit(max_header_bytes);
    parser_->skip(!body_expected_);
}

void client_connection::read()
{
    // A wait followed by a direct read lets all connections share one buffer.
    socket_.async_wait(
        tcp_socket::wait_read,
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (self->listener_ == nullptr)
                return;
            if (ec)
            {
                self->take_end(ec);
                return;
            }
            self->socket_.non_blocking(true, ec);
            const auto n =
                self->socket_.read_some(boost::asio::buffer(read_buffer()), ec);
            if (ec == boost::asio::error::would_block)
            {
                self->read();
                return;
            }
            if (ec)
            {
                self->take_end(ec);
                return;
            }
            self->take(n);
        });
}

void client_connection::take(std::size_t size)
{
    if (!busy_)
    {
        end(connection_end::malformed);
        return;
    }
    incoming_.append(read_buffer().data(), size);
    parse();
    if (listener_ != nullptr)
        read();
}

void client_connection::take_end(boost::system::error_code ec)
{
    if (busy_ && ec == boost::asio::error::eof && parser_ &&
        parser_->is_header_done() && !parser_->is_done())
    {
        boost::system::error_code failed;
        parser_->put_eof(failed);
        if (!failed && parser_->is_done())
        {
            deliver();
            if (listener_ == nullptr)
                return;
        }
    }
    end(reason_of(ec));
}

void client_connection::parse()
{
    while (busy_ && !incoming_.empty())
    {
        boost::system::error_code ec;
        const auto n = parser_->put(boost::asio::buffer(incoming_), ec);
        incoming_.erase(0, n);
        if (ec == boost::beast::http::error::need_more)
            return;
        if (ec)
        {
            end(connection_end::malformed);
            return;
        }
        if (!parser_->is_done())
        {
            if (n == 0)
                return;
            continue;
        }
        const auto status = parser_->get().result_int();
        if (status >= 100 && status < 200)
        {
            start_parser();
            continue;
        }
        deliver();
        if (listener_ == nullptr)
            return;
    }
    if (!incoming_.empty())
        end(connection_end::malformed);
}

void client_connection::deliver()
{
    busy_ = false;
    auto message = parser_->release();
    server_response made;
    made.status = message.result_int();
    // Neither the rest of an unread request nor a second answer may meet the
    // next request.
    made.keep_alive = message.keep_alive() && !writing_ && incoming_.empty();
    made.body = std::move(message.body());
    made.fields = std::move(static_cast<boost::beast::http::fields&>(message));
    parser_.reset();
    listener_->on_response(*this, std::move(made));
}

void client_connection::end(connection_end why)
{
    if (listener_ == nullptr)
        return;
    auto* const listener = listener_;
    const auto self = shared_from_this();
    close();
    listener->on_end(*this, why);
}

} // namespace turmericlane
