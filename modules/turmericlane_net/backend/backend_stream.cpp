#include "backend_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace turmericlane
{

namespace
{

// A reply with ten hits has about 600 bytes and fits in one receive.
constexpr std::size_t receive_buffer_bytes = std::size_t{8} << 10U;
// A larger body is sent in pieces, which limits the memory of a connection.
constexpr std::size_t send_buffer_limit_bytes = std::size_t{64} << 10U;

// The library itself would read a reply of any size into memory.
constexpr std::size_t reply_limit_bytes = std::size_t{16} << 20U;

} // namespace

void backend_stream::begin_exchange(
    int socket,
    const clock& time,
    time_point deadline,
    const std::function<bool()>& send_condition,
    const std::atomic<bool>& is_cancelled)
{
    reset();
    socket_ = socket;
    time_ = &time;
    deadline_ = deadline;
    send_condition_ = &send_condition;
    is_cancelled_ = &is_cancelled;
    receive_buffer_.resize(receive_buffer_bytes);
}

void backend_stream::reset() noexcept
{
    may_have_been_sent_ = false;
    failure_ = failure::none;
    send_buffer_.clear();
    unread_begin_ = 0;
    unread_end_ = 0;
    reply_bytes_ = 0;
}

bool backend_stream::may_have_been_sent() const noexcept
{
    return may_have_been_sent_;
}

backend_stream::failure backend_stream::first_failure() const noexcept
{
    return failure_;
}

bool backend_stream::is_readable() const
{
    return unread_begin_ != unread_end_;
}

bool backend_stream::is_writable() const
{
    return failure_ == failure::none;
}

ssize_t backend_stream::read(char* ptr, size_t size)
{
    if (unread_begin_ == unread_end_ && (!flush() || !receive()))
        return failure_ == failure::none ? 0 : -1;
    auto n = std::min(size, unread_end_ - unread_begin_);
    std::memcpy(ptr, receive_buffer_.data() + unread_begin_, n);
    unread_begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t backend_stream::write(const char* ptr, size_t size)
{
    send_buffer_.append(ptr, size);
    if (send_buffer_.size() >= send_buffer_limit_bytes && !flush())
        return -1;
    return static_cast<ssize_t>(size);
}

void backend_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

void backend_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

socket_t backend_stream::socket() const
{
    return socket_;
}

bool backend_stream::may_send() const
{
    if (is_cancelled_->load(std::memory_order_relaxed))
        return false;
    return !*send_condition_ || (*send_condition_)();
}

bool backend_stream::flush()
{
    if (failure_ != failure::none)
        return false;
    if (send_buffer_.empty())
        return true;
    if (!may_have_been_sent_ && !may_send())
        return fail(failure::refused);
    std::size_t sent_bytes = 0;
    while (sent_bytes < send_buffer_.size())
    {
        auto n = ::send(
            socket_, send_buffer_.data() + sent_bytes,
            send_buffer_.size() - sent_bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0)
        {
            may_have_been_sent_ = true;
            sent_bytes += static_cast<std::size_t>(n);
            continue;
        }
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN)
            return fail(failure::broken);
        if (!wait_for_socket(POLLOUT))
            return false;
    }
    send_buffer_.clear();
    return true;
}

// Returns false on failure, and without setting a failure at the end of the
// stream.
bool backend_stream::receive()
{
    for (;;)
    {
        if (!wait_for_socket(POLLIN))
            return false;
        auto n = ::recv(
            socket_, receive_buffer_.data(), receive_buffer_.size(),
            MSG_DONTWAIT);
        if (n > 0)
        {
            reply_bytes_ += static_cast<std::size_t>(n);
            if (reply_bytes_ > reply_limit_bytes)
                return fail(failure::broken);
            unread_begin_ = 0;
            unread_end_ = static_cast<std::size_t>(n);
            return true;
        }
        if (n == 0)
            return false;
        if (errno != EINTR && errno != EAGAIN)
            return fail(failure::broken);
    }
}

bool backend_stream::wait_for_socket(short events)
{
    using std::chrono::milliseconds;
    for (;;)
    {
        auto remaining =
            std::chrono::ceil<milliseconds>(deadline_ - time_->now());
        if (remaining <= milliseconds::zero())
            return fail(failure::timed_out);
        // poll takes the timeout as an int, so that a long one is split.
        auto timeout = std::min(remaining, milliseconds(std::chrono::hours(1)));
        pollfd poll_descriptor{socket_, events, 0};
        auto n = ::poll(&poll_descriptor, 1, static_cast<int>(timeout.count()));
        if (n > 0)
            return true;
        if (n < 0 && errno != EINTR)
            return fail(failure::broken);
    }
}

bool backend_stream::fail(failure cause)
{
    failure_ = cause;
    return false;
}

} // namespace turmericlane
