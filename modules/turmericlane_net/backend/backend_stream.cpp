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

// A reply with ten hits has about 600 bytes; one receive suffices.
constexpr std::size_t receive_buffer_bytes = std::size_t{8} << 10U;
// A larger body is sent in pieces, to bound the memory of a connection.
constexpr std::size_t unsent_limit_bytes = std::size_t{64} << 10U;

// The library itself would keep a reply of any size in memory.
constexpr std::size_t reply_limit_bytes = std::size_t{16} << 20U;

} // namespace

void backend_stream::begin(
    int socket,
    const clock& time,
    time_point deadline,
    const std::function<bool()>& permit,
    const std::atomic<bool>& cancelled)
{
    reset();
    socket_ = socket;
    time_ = &time;
    deadline_ = deadline;
    permit_ = &permit;
    cancelled_ = &cancelled;
    received_.resize(receive_buffer_bytes);
}

void backend_stream::reset() noexcept
{
    may_have_left_ = false;
    failure_ = failure::none;
    unsent_.clear();
    received_begin_ = 0;
    received_end_ = 0;
    received_bytes_ = 0;
}

bool backend_stream::may_have_left() const noexcept
{
    return may_have_left_;
}

backend_stream::failure backend_stream::first_failure() const noexcept
{
    return failure_;
}

bool backend_stream::is_readable() const
{
    return received_begin_ != received_end_;
}

bool backend_stream::is_writable() const
{
    return failure_ == failure::none;
}

ssize_t backend_stream::read(char* ptr, size_t size)
{
    if (received_begin_ == received_end_ && (!flush() || !receive()))
        return failure_ == failure::none ? 0 : -1;
    auto n = std::min(size, received_end_ - received_begin_);
    std::memcpy(ptr, received_.data() + received_begin_, n);
    received_begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t backend_stream::write(const char* ptr, size_t size)
{
    unsent_.append(ptr, size);
    if (unsent_.size() >= unsent_limit_bytes && !flush())
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
    if (cancelled_->load(std::memory_order_relaxed))
        return false;
    return !*permit_ || (*permit_)();
}

bool backend_stream::flush()
{
    if (failure_ != failure::none)
        return false;
    if (unsent_.empty())
        return true;
    if (!may_have_left_ && !may_send())
        return fail(failure::refused);
    std::size_t sent = 0;
    while (sent < unsent_.size())
    {
        auto n = ::send(
            socket_, unsent_.data() + sent, unsent_.size() - sent,
            MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0)
        {
            may_have_left_ = true;
            sent += static_cast<std::size_t>(n);
            continue;
        }
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN)
            return fail(failure::broken);
        if (!wait_for(POLLOUT))
            return false;
    }
    unsent_.clear();
    return true;
}

// Returns false at the end of the stream, without a failure, and on failure.
bool backend_stream::receive()
{
    for (;;)
    {
        if (!wait_for(POLLIN))
            return false;
        auto n =
            ::recv(socket_, received_.data(), received_.size(), MSG_DONTWAIT);
        if (n > 0)
        {
            received_bytes_ += static_cast<std::size_t>(n);
            if (received_bytes_ > reply_limit_bytes)
                return fail(failure::broken);
            received_begin_ = 0;
            received_end_ = static_cast<std::size_t>(n);
            return true;
        }
        if (n == 0)
            return false;
        if (errno != EINTR && errno != EAGAIN)
            return fail(failure::broken);
    }
}

bool backend_stream::wait_for(short events)
{
    using std::chrono::milliseconds;
    for (;;)
    {
        auto left = std::chrono::ceil<milliseconds>(deadline_ - time_->now());
        if (left <= milliseconds::zero())
            return fail(failure::timed_out);
        auto bound = std::min(left, milliseconds(std::chrono::hours(1)));
        pollfd descriptor{socket_, events, 0};
        auto n = ::poll(&descriptor, 1, static_cast<int>(bound.count()));
        if (n > 0)
            return true;
        if (n < 0 && errno != EINTR)
            return fail(failure::broken);
    }
}

bool backend_stream::fail(failure why)
{
    failure_ = why;
    return false;
}

} // namespace turmericlane
