#include "peer_session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <cassert>

namespace turmericlane
{

namespace
{

// Write buffers above this size are freed after use. Otherwise each of
// thousands of sessions would keep the memory of the largest bundle it sent.
constexpr std::size_t max_kept_buffer_bytes = std::size_t{64} << 10U;

} // namespace

peer_session::peer_session(
    tcp::socket socket,
    session_role role,
    const peer_settings& settings,
    peer_session_listener& listener,
    peer_identity identity,
    std::uint64_t own_bundle_version)
    : socket_(std::move(socket))
    , hello_timer_(socket_.get_executor())
    , frame_timer_(socket_.get_executor())
    , settings_(settings)
    , listener_(listener)
    , identity_(std::move(identity))
    , role_(role)
    , own_bundle_version_(own_bundle_version)
    , authenticator_(role, settings.keys, make_session_nonce())
    // A replayed hello establishes the session, but its sender can't sign the
    // frame that has to follow. Until then a peer may send only hellos.
    , decoder_(authenticator_, hello_payload_limit_bytes)
    , encoder_(authenticator_)
{
}

void peer_session::set_close_handler(std::function<void(bool)> handler)
{
    close_handler_ = std::move(handler);
}

void peer_session::start()
{
    boost::asio::post(
        socket_.get_executor(),
        [self = shared_from_this()]
        {
            if (self->current_phase() == phase::closed)
                return;
            boost::system::error_code ignored_ec;
            self->socket_.set_option(tcp::no_delay(true), ignored_ec);
            self->hello_timer_.expires_after(self->settings_.hello_timeout);
            self->hello_timer_.async_wait(
                [self](boost::system::error_code ec)
                {
                    if (!ec)
                        self->close_now(reason::peer_too_slow);
                });
            if (self->role_ == session_role::initiator)
                self->queue_hello();
            self->read();
        });
}

bool peer_session::send(frame_type type, std::span<const std::uint8_t> payload)
{
    std::lock_guard lock(mutex_);
    if (phase_ != phase::open)
        return false;
    auto queued_bytes = write_queue_.size() + frame_bytes(payload.size());
    if (queued_bytes > settings_.write_queue_limit_bytes)
    {
        phase_ = phase::closing;
        close_cause_ = reason::queue_full;
        close(close_cause_);
        return false;
    }
    encoder_.append_frame(type, payload, write_queue_);
    request_write();
    return true;
}

void peer_session::close_after_writes()
{
    std::lock_guard lock(mutex_);
    if (phase_ == phase::closed)
        return;
    phase_ = phase::closing;
    if (!is_writing_)
        close(reason::cancelled);
}

void peer_session::close(reason cause)
{
    boost::asio::post(
        socket_.get_executor(),
        [self = shared_from_this(), cause] { self->close_now(cause); });
}

const peer_identity& peer_session::identity() const noexcept
{
    return identity_;
}

void peer_session::read()
{
    auto read_buffer = decoder_.prepare();
    socket_.async_read_some(
        boost::asio::buffer(read_buffer.data(), read_buffer.size()),
        [self = shared_from_this()](
            boost::system::error_code ec, std::size_t received_bytes)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (ec)
                return self->close_now(reason::connection_lost);
            self->on_read(received_bytes);
        });
}

void peer_session::on_read(std::size_t received_bytes)
{
    decoder_.commit(received_bytes);
    bool has_completed_frame = false;
    while (auto frame = decoder_.next())
    {
        has_completed_frame = true;
        if (!handle_frame(*frame))
            return close_now(reason::frame_malformed);
        if (current_phase() == phase::closed)
            return;
    }
    if (decoder_.error() != reason::none)
        return close_now(decoder_.error());
    update_frame_timer(has_completed_frame);
    read();
}

bool peer_session::handle_frame(const received_frame& frame)
{
    switch (current_phase())
    {
    case phase::hello:
        return handle_hello(frame);
    case phase::proof:
        return handle_proof(frame);
    case phase::open:
    case phase::closing:
        if (!was_opened_)
            return true;
        if (frame.type == frame_type::hello)
            return false;
        listener_.on_session_message(*this, frame.type, frame.payload);
        return true;
    case phase::closed:
        break;
    }
    return true;
}

bool peer_session::handle_hello(const received_frame& frame)
{
    if (frame.type != frame_type::hello)
        return false;
    auto hello = decode_message<hello_message>(frame.payload);
    // Rejects a process that has connected to itself.
    if (!hello || hello->header.nonce == settings_.nonce)
        return false;
    if (role_ == session_role::acceptor)
        queue_hello();
    if (!authenticator_.establish(hello->body.nonce))
        return false;
    peer_header_ = hello->header;
    peer_nonce_ = hello->body.nonce;
    {
        std::lock_guard lock(mutex_);
        if (phase_ == phase::hello)
            phase_ = phase::proof;
    }
    queue_hello();
    return true;
}

bool peer_session::handle_proof(const received_frame& frame)
{
    if (frame.type != frame_type::hello)
        return false;
    auto hello = decode_message<hello_message>(frame.payload);
    if (!hello || hello->header != peer_header_ ||
        hello->body.nonce != peer_nonce_)
        return false;
    hello_timer_.cancel();
    identity_.instance = peer_header_.sender;
    identity_.nonce = peer_header_.nonce;
    identity_.bundle_version = peer_header_.bundle_version;
    {
        std::lock_guard lock(mutex_);
        if (phase_ != phase::proof)
            return true;
        phase_ = phase::open;
    }
    was_opened_ = true;
    decoder_.set_payload_limit(frame_payload_limit_bytes);
    listener_.on_session_open(shared_from_this());
    return true;
}

void peer_session::queue_hello()
{
    message_encoder encoder;
    message_header header{
        settings_.nonce, settings_.instance, own_bundle_version_};
    auto hello = encoder.encode(header, hello_message{authenticator_.nonce()});
    std::lock_guard lock(mutex_);
    encoder_.append_frame(hello.type, hello.payload, write_queue_);
    request_write();
}

void peer_session::update_frame_timer(bool has_completed_frame)
{
    if (!decoder_.has_partial_frame())
    {
        partial_frame_start_ = time_point::max();
        return;
    }
    if (!has_completed_frame && partial_frame_start_ != time_point::max())
        return;
    partial_frame_start_ = std::chrono::steady_clock::now();
    if (!is_frame_timer_armed_)
        start_frame_timer(settings_.frame_timeout);
}

void peer_session::start_frame_timer(duration timeout)
{
    is_frame_timer_armed_ = true;
    frame_timer_.expires_after(timeout);
    frame_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (ec)
                return;
            self->is_frame_timer_armed_ = false;
            if (self->partial_frame_start_ == time_point::max())
                return;
            auto remaining = self->partial_frame_start_ +
                             self->settings_.frame_timeout -
                             std::chrono::steady_clock::now();
            if (remaining <= duration::zero())
                return self->close_now(reason::peer_too_slow);
            self->start_frame_timer(remaining);
        });
}

// The caller holds mutex_.
void peer_session::request_write()
{
    if (is_writing_)
        return;
    is_writing_ = true;
    boost::asio::post(
        socket_.get_executor(), [self = shared_from_this()] { self->write(); });
}

// Sends all messages that were queued since the last write in one write.
void peer_session::write()
{
    write_buffer_.clear();
    if (write_buffer_.capacity() > max_kept_buffer_bytes)
        write_buffer_.shrink_to_fit();
    {
        std::lock_guard lock(mutex_);
        if (phase_ == phase::closed)
            return;
        assert(is_writing_ && !write_queue_.empty());
        write_buffer_.swap(write_queue_);
    }
    boost::asio::async_write(
        socket_, boost::asio::buffer(write_buffer_),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (ec)
                return self->close_now(reason::connection_lost);
            self->on_written();
        });
}

void peer_session::on_written()
{
    bool has_more = false;
    bool is_finished = false;
    reason cause = reason::none;
    {
        std::lock_guard lock(mutex_);
        has_more = !write_queue_.empty();
        is_writing_ = has_more;
        is_finished = !has_more && phase_ == phase::closing;
        cause = close_cause_;
    }
    if (is_finished)
        return close_now(cause);
    if (has_more)
        write();
}

void peer_session::close_now(reason cause)
{
    {
        std::lock_guard lock(mutex_);
        if (phase_ == phase::closed)
            return;
        phase_ = phase::closed;
    }
    hello_timer_.cancel();
    frame_timer_.cancel();
    boost::system::error_code ignored_ec;
    socket_.shutdown(tcp::socket::shutdown_both, ignored_ec);
    socket_.close(ignored_ec);
    if (close_handler_)
        std::exchange(close_handler_, nullptr)(was_opened_);
    listener_.on_session_closed(shared_from_this(), was_opened_, cause);
}

peer_session::phase peer_session::current_phase() const
{
    std::lock_guard lock(mutex_);
    return phase_;
}

} // namespace turmericlane
