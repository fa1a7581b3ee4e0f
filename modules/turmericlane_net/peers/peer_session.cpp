#include "peer_session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <cassert>

namespace turmericlane
{

namespace
{

// Write buffers above this size are returned after use, so that one large
// bundle does not stay in memory for each of thousands of sessions.
constexpr std::size_t kept_buffer_bytes = std::size_t{64} << 10U;

} // namespace

peer_session::peer_session(
    tcp::socket socket,
    session_role role,
    const peer_settings& settings,
    session_host& host,
    peer_identity identity,
    std::uint64_t own_bundle_version)
    : socket_(std::move(socket))
    , hello_timer_(socket_.get_executor())
    , frame_timer_(socket_.get_executor())
    , settings_(settings)
    , host_(host)
    , identity_(std::move(identity))
    , role_(role)
    , own_bundle_version_(own_bundle_version)
    , authenticator_(role, settings.keys, make_session_nonce())
    , decoder_(authenticator_)
    , encoder_(authenticator_)
{
}

void peer_session::set_on_end(std::function<void(bool)> called)
{
    on_end_ = std::move(called);
}

void peer_session::start()
{
    boost::asio::post(
        socket_.get_executor(),
        [self = shared_from_this()]
        {
            if (self->current_phase() == phase::closed)
                return;
            boost::system::error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->hello_timer_.expires_after(self->settings_.hello_timeout);
            self->hello_timer_.async_wait(
                [self](boost::system::error_code ec)
                {
                    if (!ec)
                        self->close_here(reason::peer_too_slow);
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
    auto size = queued_.size() + frame_bytes(payload.size());
    if (size > settings_.write_queue_limit_bytes)
    {
        phase_ = phase::finishing;
        end_reason_ = reason::queue_full;
        close(end_reason_);
        return false;
    }
    encoder_.append_frame(type, payload, queued_);
    request_write();
    return true;
}

void peer_session::finish()
{
    std::lock_guard lock(mutex_);
    if (phase_ == phase::closed)
        return;
    phase_ = phase::finishing;
    if (!writing_)
        close(reason::cancelled);
}

void peer_session::close(reason why)
{
    boost::asio::post(
        socket_.get_executor(),
        [self = shared_from_this(), why] { self->close_here(why); });
}

const peer_identity& peer_session::identity() const noexcept
{
    return identity_;
}

void peer_session::read()
{
    auto to = decoder_.prepare();
    socket_.async_read_some(
        boost::asio::buffer(to.data(), to.size()),
        [self = shared_from_this()](
            boost::system::error_code ec, std::size_t received_bytes)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (ec)
                return self->close_here(reason::connection_lost);
            self->on_read(received_bytes);
        });
}

void peer_session::on_read(std::size_t received_bytes)
{
    decoder_.commit(received_bytes);
    bool completed = false;
    while (auto frame = decoder_.next())
    {
        completed = true;
        if (!handle(*frame))
            return close_here(reason::frame_malformed);
        if (current_phase() == phase::closed)
            return;
    }
    if (decoder_.error() != reason::none)
        return close_here(decoder_.error());
    watch_partial_frame(completed);
    read();
}

bool peer_session::handle(const received_frame& frame)
{
    switch (current_phase())
    {
    case phase::hello:
        return handle_hello(frame);
    case phase::proof:
        return handle_proof(frame);
    case phase::open:
    case phase::finishing:
        if (!opened_)
            return true;
        if (frame.type == frame_type::hello)
            return false;
        host_.on_session_message(*this, frame.type, frame.payload);
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
    // A process that connects to itself is not a peer.
    if (!hello || hello->header.nonce == settings_.nonce)
        return false;
    if (role_ == session_role::acceptor)
        queue_hello();
    if (!authenticator_.establish(hello->body.session))
        return false;
    peer_header_ = hello->header;
    peer_nonce_ = hello->body.session;
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
        hello->body.session != peer_nonce_)
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
    opened_ = true;
    host_.on_session_open(shared_from_this());
    return true;
}

void peer_session::queue_hello()
{
    message_encoder encoder;
    message_header header{
        settings_.nonce, settings_.instance, own_bundle_version_};
    auto hello = encoder.encode(header, hello_message{authenticator_.nonce()});
    std::lock_guard lock(mutex_);
    encoder_.append_frame(hello.type, hello.payload, queued_);
    request_write();
}

void peer_session::watch_partial_frame(bool frame_completed)
{
    if (!decoder_.has_partial_frame())
    {
        partial_since_ = time_point::max();
        return;
    }
    if (!frame_completed && partial_since_ != time_point::max())
        return;
    partial_since_ = std::chrono::steady_clock::now();
    if (!frame_timer_armed_)
        arm_frame_timer(settings_.frame_timeout);
}

void peer_session::arm_frame_timer(duration span)
{
    frame_timer_armed_ = true;
    frame_timer_.expires_after(span);
    frame_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (ec)
                return;
            self->frame_timer_armed_ = false;
            if (self->partial_since_ == time_point::max())
                return;
            auto left = self->partial_since_ + self->settings_.frame_timeout -
                        std::chrono::steady_clock::now();
            if (left <= duration::zero())
                return self->close_here(reason::peer_too_slow);
            self->arm_frame_timer(left);
        });
}

// The caller holds mutex_.
void peer_session::request_write()
{
    if (writing_)
        return;
    writing_ = true;
    boost::asio::post(
        socket_.get_executor(), [self = shared_from_this()] { self->write(); });
}

// Whatever was queued since the last write leaves in one write.
void peer_session::write()
{
    written_.clear();
    if (written_.capacity() > kept_buffer_bytes)
        written_.shrink_to_fit();
    {
        std::lock_guard lock(mutex_);
        if (phase_ == phase::closed)
            return;
        assert(writing_ && !queued_.empty());
        written_.swap(queued_);
    }
    boost::asio::async_write(
        socket_, boost::asio::buffer(written_),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (ec)
                return self->close_here(reason::connection_lost);
            self->on_written();
        });
}

void peer_session::on_written()
{
    bool more = false;
    bool finished = false;
    reason why = reason::none;
    {
        std::lock_guard lock(mutex_);
        more = !queued_.empty();
        writing_ = more;
        finished = !more && phase_ == phase::finishing;
        why = end_reason_;
    }
    if (finished)
        return close_here(why);
    if (more)
        write();
}

void peer_session::close_here(reason why)
{
    {
        std::lock_guard lock(mutex_);
        if (phase_ == phase::closed)
            return;
        phase_ = phase::closed;
    }
    hello_timer_.cancel();
    frame_timer_.cancel();
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    if (on_end_)
        std::exchange(on_end_, nullptr)(opened_);
    host_.on_session_closed(shared_from_this(), opened_, why);
}

peer_session::phase peer_session::current_phase() const
{
    std::lock_guard lock(mutex_);
    return phase_;
}

} // namespace turmericlane
