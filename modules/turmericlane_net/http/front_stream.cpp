#include "front_stream.h"

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

// From the first byte of a request to its last, and for the answer. A caller
// that is slower would keep a thread from the others.
constexpr std::chrono::seconds request_time{10};
constexpr std::chrono::seconds answer_time{5};
// poll ignores it.
constexpr int no_descriptor = -1;
constexpr std::size_t unsent_limit_bytes = std::size_t{64} << 10U;

} // namespace

front_stream::front_stream(int socket, int stop_descriptor)
    : socket_(socket)
    , stop_descriptor_(stop_descriptor)
{
}

bool front_stream::wait_for_request(std::chrono::milliseconds keep_alive)
{
    auto deadline = clock_type::now() + keep_alive;
    if (!is_readable() && !receive_until(deadline, stop_descriptor_))
        return false;
    request_deadline_ = clock_type::now() + request_time;
    return true;
}

bool front_stream::flush()
{
    auto deadline = clock_type::now() + answer_time;
    std::size_t sent = 0;
    while (!broken_ && sent < unsent_.size())
    {
        auto n = ::send(
            socket_, unsent_.data() + sent, unsent_.size() - sent,
            MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0)
            sent += static_cast<std::size_t>(n);
        else if (errno == EAGAIN)
            broken_ = !wait_for(POLLOUT, deadline, no_descriptor);
        else
            broken_ = errno != EINTR;
    }
    unsent_.clear();
    return !broken_;
}

bool front_stream::is_readable() const
{
    return received_begin_ != received_end_;
}

bool front_stream::is_writable() const
{
    return !broken_;
}

ssize_t front_stream::read(char* ptr, size_t size)
{
    // An interim answer has to leave before the rest of the request comes.
    if (!is_readable() &&
        (!flush() || !receive_until(request_deadline_, no_descriptor)))
        return broken_ ? -1 : 0;
    auto n = std::min(size, received_end_ - received_begin_);
    std::memcpy(ptr, received_.data() + received_begin_, n);
    received_begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t front_stream::write(const char* ptr, size_t size)
{
    unsent_.append(ptr, size);
    if (unsent_.size() >= unsent_limit_bytes && !flush())
        return -1;
    return broken_ ? -1 : static_cast<ssize_t>(size);
}

void front_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

void front_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

socket_t front_stream::socket() const
{
    return socket_;
}

front_stream::received front_stream::receive()
{
    for (;;)
    {
        auto n =
            ::recv(socket_, received_.data(), received_.size(), MSG_DONTWAIT);
        if (n > 0)
        {
            received_begin_ = 0;
            received_end_ = static_cast<std::size_t>(n);
            return received::some;
        }
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN)
            return received::nothing_yet;
        broken_ = n < 0;
        return received::end;
    }
}

bool front_stream::receive_until(time_point deadline, int stop_descriptor)
{
    for (;;)
    {
        auto got = receive();
        if (got != received::nothing_yet)
            return got == received::some;
        if (!wait_for(POLLIN, deadline, stop_descriptor))
        {
            broken_ = true;
            return false;
        }
    }
}

// Returns false at the deadline, on failure, and once the stop descriptor is
// readable and the socket is not.
bool front_stream::wait_for(
    short events, time_point deadline, int stop_descriptor) const
{
    using std::chrono::milliseconds;
    for (;;)
    {
        auto left =
            std::chrono::ceil<milliseconds>(deadline - clock_type::now());
        if (left <= milliseconds::zero())
            return false;
        auto bound = std::min(left, milliseconds(std::chrono::hours(1)));
        pollfd descriptors[] = {
            {socket_, events, 0}, {stop_descriptor, POLLIN, 0}};
        auto n = ::poll(descriptors, 2, static_cast<int>(bound.count()));
        if (n > 0)
            return descriptors[0].revents != 0;
        if (n < 0 && errno != EINTR)
            return false;
    }
}

} // namespace turmericlane
