#include "frontend_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace turmericlane
{

namespace
{

using clock_type = std::chrono::steady_clock;

// Longest time from the first byte of a request to its last, and for sending
// the response. A slower caller would occupy a thread that others need.
constexpr std::chrono::seconds request_timeout{10};
constexpr std::chrono::seconds response_timeout{5};
// A descriptor that poll ignores.
constexpr int no_descriptor = -1;
constexpr std::size_t send_buffer_limit_bytes = std::size_t{64} << 10U;

} // namespace

frontend_stream::frontend_stream(int socket, int stop_descriptor)
    : socket_(socket)
    , stop_descriptor_(stop_descriptor)
{
}

bool frontend_stream::wait_for_request(std::chrono::milliseconds idle_timeout)
{
    auto deadline = clock_type::now() + idle_timeout;
    if (!is_readable() && !receive_until(deadline, stop_descriptor_))
        return false;
    request_deadline_ = clock_type::now() + request_timeout;
    return true;
}

bool frontend_stream::flush()
{
    auto deadline = clock_type::now() + response_timeout;
    std::size_t sent_bytes = 0;
    while (!is_broken_ && sent_bytes < send_buffer_.size())
    {
        auto n = ::send(
            socket_, send_buffer_.data() + sent_bytes,
            send_buffer_.size() - sent_bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0)
            sent_bytes += static_cast<std::size_t>(n);
        else if (errno == EAGAIN)
            is_broken_ = !wait_for_socket(POLLOUT, deadline, no_descriptor);
        else
            is_broken_ = errno != EINTR;
    }
    send_buffer_.clear();
    return !is_broken_;
}

bool frontend_stream::is_readable() const
{
    return unread_begin_ != unread_end_;
}

bool frontend_stream::is_writable() const
{
    return !is_broken_;
}

ssize_t frontend_stream::read(char* ptr, size_t size)
{
    // An interim response (100 Continue) has to be sent before the caller sends
    // the rest of the request.
    if (!is_readable() &&
        (!flush() || !receive_until(request_deadline_, no_descriptor)))
        return is_broken_ ? -1 : 0;
    auto n = std::min(size, unread_end_ - unread_begin_);
    std::memcpy(ptr, receive_buffer_.data() + unread_begin_, n);
    unread_begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t frontend_stream::write(const char* ptr, size_t size)
{
    send_buffer_.append(ptr, size);
    if (send_buffer_.size() >= send_buffer_limit_bytes && !flush())
        return -1;
    return is_broken_ ? -1 : static_cast<ssize_t>(size);
}

void frontend_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

void frontend_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

socket_t frontend_stream::socket() const
{
    return socket_;
}

frontend_stream::receive_status frontend_stream::receive()
{
    for (;;)
    {
        auto n = ::recv(
            socket_, receive_buffer_.data(), receive_buffer_.size(),
            MSG_DONTWAIT);
        if (n > 0)
        {
            unread_begin_ = 0;
            unread_end_ = static_cast<std::size_t>(n);
            return receive_status::has_data;
        }
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN)
            return receive_status::no_data;
        is_broken_ = n < 0;
        return receive_status::end_of_stream;
    }
}

bool frontend_stream::receive_until(time_point deadline, int stop_descriptor)
{
    for (;;)
    {
        auto status = receive();
        if (status != receive_status::no_data)
            return status == receive_status::has_data;
        if (!wait_for_socket(POLLIN, deadline, stop_descriptor))
        {
            is_broken_ = true;
            return false;
        }
    }
}

// Returns false at the deadline, on failure, or if the stop descriptor is ready
// and the socket is not.
bool frontend_stream::wait_for_socket(
    short events, time_point deadline, int stop_descriptor) const
{
    using std::chrono::milliseconds;
    for (;;)
    {
        auto remaining =
            std::chrono::ceil<milliseconds>(deadline - clock_type::now());
        if (remaining <= milliseconds::zero())
            return false;
        // poll takes the timeout as an int, so that a long one is split.
        auto timeout = std::min(remaining, milliseconds(std::chrono::hours(1)));
        pollfd poll_descriptors[] = {
            {socket_, events, 0}, {stop_descriptor, POLLIN, 0}};
        auto n = ::poll(poll_descriptors, 2, static_cast<int>(timeout.count()));
        if (n > 0)
            return poll_descriptors[0].revents != 0;
        if (n < 0 && errno != EINTR)
            return false;
    }
}

} // namespace turmericlane
