#include "client_connection.h"

#include <turmericlane_http/turmericlane_http.h>

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cassert>

namespace turmericlane
{

namespace
{

/** Time for which sent bytes may stay unacknowledged, unless
    set_acknowledgement_timeout was called. */
constexpr auto default_acknowledgement_timeout =
    std::chrono::milliseconds(2500);
constexpr std::size_t read_buffer_bytes = 32U << 10U;
/** Limit of the interim answers to a request. */
constexpr std::size_t max_interim_bytes = 64U << 10U;
/** Answers that occupy less are not counted in the memory of all answers. */
constexpr std::size_t min_accounted_bytes = 64U << 10U;

/** Returns the buffer that all connections of a thread share, so that an idle
    connection needs none. */
std::array<char, read_buffer_bytes>& read_buffer()
{
    static thread_local std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

boost::asio::const_buffer
to_buffer(const std::shared_ptr<const std::string>& text)
{
    return text ? boost::asio::buffer(*text) : boost::asio::const_buffer();
}

connection_end to_connection_end(boost::system::error_code ec)
{
    return ec == boost::asio::error::timed_out ? connection_end::unacknowledged
                                               : connection_end::closed;
}

} // namespace

client_connection::client_connection(
    event_context& loop, client_listener& listener, response_memory* memory)
    : socket_(loop.get_executor())
    , listener_(&listener)
    , memory_(memory)
{
}

client_connection::~client_connection()
{
    release_memory();
}

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
    set_acknowledgement_timeout(default_acknowledgement_timeout);
    socket_.async_connect(
        tcp::endpoint(ip, port),
        [self](boost::system::error_code connect_error)
        {
            if (self->listener_ == nullptr)
                return;
            auto ec = connect_error;
            if (!ec)
                self->socket_.non_blocking(true, ec);
            if (ec)
            {
                self->end(connection_end::not_opened);
                return;
            }
            self->has_opened_ = true;
            self->read();
            self->listener_->on_open(*self);
        });
}

void client_connection::send(std::string text, bool expects_body)
{
    send(request_parts{nullptr, nullptr, std::move(text)}, expects_body);
}

void client_connection::send(request_parts parts, bool expects_body)
{
    assert(is_idle());
    is_awaiting_response_ = true;
    expects_body_ = expects_body;
    start_parser();
    request_ = std::move(parts);
    is_writing_ = true;
    const std::array<boost::asio::const_buffer, 3> buffers = {
        to_buffer(request_.head), boost::asio::buffer(request_.fields),
        to_buffer(request_.tail)};
    boost::asio::async_write(
        socket_, buffers,
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
            self->is_writing_ = false;
            self->request_ = {};
            if (ec)
                self->end(to_connection_end(ec));
        });
}

void client_connection::set_acknowledgement_timeout(duration timeout)
{
    if (timeout == acknowledgement_timeout_)
        return;
    acknowledgement_timeout_ = timeout;
    const auto rounded_timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    const auto user_timeout_ms = static_cast<unsigned>(rounded_timeout.count());
    // If this fails, the system's default applies, which only delays the end.
    setsockopt(
        socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
        &user_timeout_ms, sizeof(user_timeout_ms));
}

void client_connection::expect_another_response()
{
    is_awaiting_response_ = true;
    start_parser();
}

void client_connection::close()
{
    listener_ = nullptr;
    release_memory();
    boost::system::error_code ec;
    socket_.close(ec);
}

void client_connection::give_up_response()
{
    is_accounted_ = false;
    end(connection_end::too_large);
}

void client_connection::account_memory()
{
    if (memory_ == nullptr || !parser_)
        return;
    const auto bytes =
        parser_->get().body().capacity() + unparsed_bytes_.capacity();
    if (bytes < min_accounted_bytes && !is_accounted_)
        return;
    is_accounted_ = true;
    memory_->set(*this, bytes);
}

void client_connection::release_memory()
{
    if (is_accounted_)
        memory_->release(*this);
    is_accounted_ = false;
    // The bytes of an incomplete answer may be many.
    if (listener_ == nullptr)
    {
        parser_.reset();
        unparsed_bytes_ = {};
    }
}

void client_connection::start_parser()
{
    interim_bytes_ = 0;
    restart_parser();
}

void client_connection::restart_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(response_body::max_bytes);
    parser_->header_limit(max_response_head_bytes);
    parser_->skip(!expects_body_);
}

void client_connection::read()
{
    // Waiting first and then reading directly lets all connections share one
    // buffer.
    socket_.async_wait(
        tcp_socket::wait_read,
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (self->listener_ == nullptr)
                return;
            if (ec)
            {
                self->on_read_error(ec);
                return;
            }
            const auto n =
                self->socket_.read_some(boost::asio::buffer(read_buffer()), ec);
            if (ec == boost::asio::error::would_block)
            {
                self->read();
                return;
            }
            if (ec)
            {
                self->on_read_error(ec);
                return;
            }
            self->on_bytes_read(n);
        });
}

void client_connection::on_bytes_read(std::size_t size)
{
    if (!is_awaiting_response_)
    {
        end(connection_end::malformed);
        return;
    }
    unparsed_bytes_.append(read_buffer().data(), size);
    parse();
    if (listener_ != nullptr && is_awaiting_response_)
        account_memory();
    if (listener_ != nullptr)
        read();
}

void client_connection::on_read_error(boost::system::error_code ec)
{
    if (is_awaiting_response_ && ec == boost::asio::error::eof && parser_ &&
        parser_->is_header_done() && !parser_->is_done())
    {
        boost::system::error_code parse_error;
        parser_->put_eof(parse_error);
        if (!parse_error && parser_->is_done())
        {
            deliver_response();
            if (listener_ == nullptr)
                return;
        }
    }
    end(to_connection_end(ec));
}

void client_connection::parse()
{
    while (is_awaiting_response_ && !unparsed_bytes_.empty())
    {
        if (has_invalid_head())
        {
            end(connection_end::malformed);
            return;
        }
        if (!is_parsable(*parser_, unparsed_bytes_.size()))
            return;
        boost::system::error_code ec;
        const auto bytes = parsable_bytes(unparsed_bytes_);
        const auto has_all = bytes.size() == unparsed_bytes_.size();
        const auto n = parser_->put(bytes, ec);
        unparsed_bytes_.erase(0, n);
        const auto needs_more = ec == boost::beast::http::error::need_more;
        const auto is_stuck = n == 0 && bytes.size() == max_parsed_bytes;
        if (needs_more && !is_stuck)
        {
            if (has_all)
                return;
            continue;
        }
        if (needs_more || ec == boost::beast::http::error::body_limit ||
            ec == boost::beast::http::error::header_limit)
        {
            end(connection_end::too_large);
            return;
        }
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
            interim_bytes_ += n;
            if (interim_bytes_ > max_interim_bytes)
            {
                end(connection_end::too_large);
                return;
            }
            restart_parser();
            continue;
        }
        deliver_response();
        if (listener_ == nullptr)
            return;
    }
    if (!unparsed_bytes_.empty())
        end(connection_end::malformed);
}

/** True if the bytes begin with a whole head that is not a response's. */
bool client_connection::has_invalid_head() const
{
    // The parser takes in a head only as a whole.
    if (parser_->is_header_done())
        return false;
    const auto size = unparsed_bytes_.find(head_terminator);
    return size != std::string::npos &&
           !parse_response_head(std::string_view(unparsed_bytes_)
                                    .substr(0, size + head_terminator.size()));
}

void client_connection::deliver_response()
{
    is_awaiting_response_ = false;
    auto message = parser_->release();
    server_response response;
    response.status = message.result_int();
    // A connection is not reused while part of a request is still unsent or if
    // bytes follow the answer: either would interfere with the next request.
    response.keep_alive =
        message.keep_alive() && !is_writing_ && unparsed_bytes_.empty();
    response.body = std::move(message.body());
    response.fields =
        std::move(static_cast<boost::beast::http::fields&>(message));
    parser_.reset();
    release_memory();
    listener_->on_response(*this, std::move(response));
}

void client_connection::end(connection_end reason)
{
    if (listener_ == nullptr)
        return;
    auto* const listener = listener_;
    const auto self = shared_from_this();
    if (parser_ && parser_->is_header_done() &&
        reason != connection_end::malformed)
        listener->on_incomplete_response(
            *this, parser_->get().result_int(), parser_->get());
    if (listener_ == nullptr)
        return;
    close();
    listener->on_end(*this, reason);
}

} // namespace turmericlane
