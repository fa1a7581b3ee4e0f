#include "caller_session.h"

#include <boost/asio/write.hpp>

#include <algorithm>
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
constexpr std::size_t max_pipelined_bytes = 16U << 10U;
/** Memory of a parsed field besides its text. */
constexpr std::size_t field_overhead_bytes = 128;
/** Larger buffers are freed when they are empty. */
constexpr std::size_t max_kept_buffer_bytes = 4U << 10U;
/** Time after which a caller may try again whose request was given up for lack
    of memory. */
constexpr std::string_view out_of_memory_fields = "Retry-After: 1\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t read_buffer_bytes = 16U << 10U;

std::array<char, read_buffer_bytes>& read_buffer()
{
    static thread_local std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

std::size_t query_bytes(tcp_socket& socket, unsigned long request)
{
    int n = 0;
    if (::ioctl(socket.native_handle(), request, &n) != 0 || n < 0)
        return 0;
    return static_cast<std::size_t>(n);
}

void free_if_large(std::string& buffer)
{
    if (buffer.empty() && buffer.capacity() > max_kept_buffer_bytes)
        std::string().swap(buffer);
}

caller_connection_end to_connection_end(boost::system::error_code read_error)
{
    if (read_error == boost::asio::error::eof)
        return caller_connection_end::caller_closed;
    if (read_error == boost::asio::error::connection_reset)
        return caller_connection_end::caller_reset;
    return caller_connection_end::caller_lost;
}

} // namespace

caller_session::caller_session(
    tcp_socket socket,
    session_handler& handler,
    std::shared_ptr<caller_memory> memory,
    const clock& time)
    : socket_(std::move(socket))
    , handler_(handler)
    , clock_(time)
    , state_start_(time.now())
    , memory_(std::move(memory))
    , claim_(*memory_, *this)
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
    written_bytes_ = 0;
    boost::asio::async_write(
        socket_, boost::asio::buffer(response_text_),
        [this, is_all_written = boost::asio::transfer_all()](
            boost::system::error_code ec, std::size_t n) mutable
        {
            written_bytes_ = n;
            return is_all_written(ec, n);
        },
        [self = shared_from_this(),
         is_last_response](boost::system::error_code ec, std::size_t n)
        {
            self->written_bytes_ = n;
            self->on_written(ec, is_last_response);
        });
    update_memory();
}

bool caller_session::sweep()
{
    const auto now = clock_.now();
    const auto time_in_state = now - state_start_;
    switch (state_)
    {
    case state::idle:
        if (time_in_state >= handler_.limits().idle_timeout)
            close_if_idle(caller_connection_end::idle_timeout);
        break;
    case state::reading:
        if (time_in_state >= handler_.limits().idle_timeout ||
            (time_in_state >= handler_.limits().header_timeout &&
             !parser_->is_header_done()))
            refuse(408);
        break;
    case state::writing:
        if (time_in_state >= write_timeout)
            close(caller_connection_end::write_timeout);
        break;
    case state::draining:
        if (time_in_state >= write_timeout ||
            (time_in_state >= discard_timeout && unacknowledged_bytes() == 0))
            close(caller_connection_end::discard_timeout);
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

void caller_session::close_if_idle(caller_connection_end cause)
{
    if (state_ != state::idle || unread_bytes() > 0)
        return;
    if (unacknowledged_bytes() > 0)
        discard();
    else
        close(cause);
}

std::optional<caller_session::usage>
caller_session::unused_since() const noexcept
{
    if (state_ != state::idle && state_ != state::reading)
        return std::nullopt;
    return usage(!is_first_request_, state_start_);
}

bool caller_session::end_unused()
{
    if (state_ == state::reading)
        refuse(503, out_of_memory_fields);
    else
        close_if_idle(caller_connection_end::connection_limit);
    return state_ != state::idle;
}

void caller_session::give_up_memory()
{
    if (state_ == state::reading)
        refuse(503, out_of_memory_fields);
    else if (state_ == state::writing)
        close(caller_connection_end::memory_limit);
}

void caller_session::update_memory()
{
    claim_.set(held_bytes(), state_start_, state_ == state::handling);
}

std::size_t caller_session::held_bytes() const
{
    auto n = unparsed_bytes_.capacity();
    if (state_ == state::closed)
        return 0;
    if (state_ == state::writing)
        n += response_text_.capacity();
    if (state_ == state::handling)
        n += head_bytes_ + body_bytes_;
    if (state_ == state::reading && parser_)
    {
        const auto& body = parser_->get().body();
        // A body of known length has its memory reserved, but not in use.
        n += head_bytes_ + (parser_->chunked() ? body.capacity() : body.size());
    }
    return n > max_kept_buffer_bytes ? n : 0;
}

void caller_session::add_to(session_counts& counts)
{
    switch (state_)
    {
    case state::idle:
        ++counts.idle;
        break;
    case state::reading:
        ++counts.reading;
        break;
    case state::handling:
        ++counts.handling;
        break;
    case state::writing:
        ++counts.writing;
        break;
    case state::draining:
        ++counts.discarding;
        break;
    case state::closed:
        return;
    }
    counts.unacknowledged_bytes += unacknowledged_bytes();
    counts.unread_bytes += unread_bytes();
}

void caller_session::report_process_end()
{
    if (state_ != state::closed)
        report_end(caller_connection_end::process_end);
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
        return unread_bytes() > 0;
    case state::draining:
        return unacknowledged_bytes() > 0;
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
                self->close(to_connection_end(ec));
                if (was_handling)
                    self->handler_.on_caller_left(*self);
                return;
            }
            if (n > 0)
            {
                self->on_bytes_read(n);
                self->update_memory();
            }
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
    searched_bytes_ = 0;
    head_bytes_ = 0;
    body_bytes_ = 0;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(max_head_bytes()));
    parser_->body_limit(handler_.limits().body_bytes);
}

void caller_session::parse()
{
    while (!unparsed_bytes_.empty() && !parser_->is_done())
    {
        if (!parser_->is_header_done() && !is_head_received())
        {
            if (unparsed_bytes_.size() > max_head_bytes())
                refuse(431);
            return;
        }
        if (!is_parsable(*parser_, unparsed_bytes_.size()))
            return;
        boost::system::error_code ec;
        const auto n = parser_->put(parsable_bytes(unparsed_bytes_), ec);
        unparsed_bytes_.erase(0, n);
        if (ec == boost::beast::http::error::need_more)
            return;
        if (ec)
        {
            on_parse_error(ec);
            return;
        }
        if (n == 0)
            return;
    }
    if (parser_->is_done())
        on_request_read();
}

std::size_t caller_session::max_head_bytes() const
{
    return std::min<std::size_t>(
        handler_.limits().header_bytes, max_parsed_bytes);
}

bool caller_session::is_head_received()
{
    // A parsed field takes far more memory than its text, so that the parser
    // gets complete heads only.
    const auto position = unparsed_bytes_.find(head_end, searched_bytes_);
    if (position == std::string::npos)
    {
        searched_bytes_ = unparsed_bytes_.size() -
                          std::min(unparsed_bytes_.size(), head_end.size() - 1);
        return false;
    }
    const auto text = std::string_view(unparsed_bytes_).substr(0, position);
    const auto lines = std::count(text.begin(), text.end(), '\n');
    head_bytes_ =
        text.size() + static_cast<std::size_t>(lines) * field_overhead_bytes;
    return true;
}

void caller_session::on_request_read()
{
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
    body_bytes_ = request.body.size();
    free_if_large(unparsed_bytes_);
    state_ = state::handling;
    update_memory();
    if (memory_->is_full())
    {
        refuse(503, out_of_memory_fields);
        return;
    }
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

void caller_session::refuse(unsigned status, std::string_view fields)
{
    handler_.on_bad_request(status);
    request_label.clear();
    state_ = state::handling;
    is_head_request_ = false;
    parser_.reset();
    std::string().swap(unparsed_bytes_);
    respond(status, fields, {}, true);
}

void caller_session::on_written(boost::system::error_code ec, bool must_close)
{
    if (state_ == state::closed)
        return;
    if (ec)
    {
        close(caller_connection_end::write_error);
        return;
    }
    state_start_ = clock_.now();
    is_first_request_ = false;
    if (must_close)
    {
        discard();
        return;
    }
    response_text_.clear();
    free_if_large(response_text_);
    state_ = unparsed_bytes_.empty() ? state::idle : state::reading;
    start_parser();
    if (state_ == state::reading)
        parse();
    update_memory();
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
    std::string().swap(unparsed_bytes_);
    std::string().swap(response_text_);
    update_memory();
    boost::system::error_code ec;
    socket_.shutdown(tcp_socket::shutdown_send, ec);
    if (std::exchange(is_reading_paused_, false))
        read();
}

void caller_session::close(caller_connection_end cause)
{
    report_end(cause);
    state_ = state::closed;
    update_memory();
    boost::system::error_code ec;
    socket_.close(ec);
}

std::size_t caller_session::unacknowledged_bytes()
{
    const auto n = query_bytes(socket_, SIOCOUTQ);
    // The end of the stream counts as one byte.
    return state_ == state::draining && n > 0 ? n - 1 : n;
}

std::size_t caller_session::unread_bytes()
{
    return query_bytes(socket_, FIONREAD);
}

void caller_session::report_end(caller_connection_end cause)
{
    connection_report report;
    report.cause = cause;
    report.unacknowledged_bytes = unacknowledged_bytes();
    report.unread_bytes = unread_bytes();
    auto is_delivered = report.unacknowledged_bytes == 0;
    switch (state_)
    {
    case state::handling:
        report.state = "handling";
        is_delivered = false;
        break;
    case state::writing:
        report.state = "writing";
        report.written_bytes = written_bytes_;
        report.unwritten_bytes = response_text_.size() - written_bytes_;
        is_delivered = false;
        break;
    case state::draining:
        report.state = "discarding";
        report.written_bytes = written_bytes_;
        is_delivered = is_delivered && report.unread_bytes == 0;
        break;
    case state::idle:
        report.state = "idle";
        report.written_bytes = written_bytes_;
        is_delivered = is_delivered && report.unread_bytes == 0;
        break;
    case state::reading:
        report.state = "reading";
        report.written_bytes = written_bytes_;
        break;
    case state::closed:
        return;
    }
    if (!is_delivered)
        handler_.on_connection_ended(*this, report);
}

} // namespace turmericlane
