#include "frontend_stream.h"

#include "request_head.h"

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

// Longest time for sending the response. A slower caller would occupy a thread
// that others need.
constexpr std::chrono::seconds response_timeout{5};
// Time between two checks whether other connections wait for a thread.
constexpr std::chrono::milliseconds busy_check_period{250};
// A descriptor that poll ignores.
constexpr int no_descriptor = -1;
constexpr std::size_t send_buffer_limit_bytes = std::size_t{64} << 10U;
// A field that the library has parsed is a node with two strings.
constexpr std::size_t parsed_field_bytes = 128;
// A chunk of one byte takes six bytes on the wire.
constexpr std::size_t max_chunk_overhead = 6;
// The string in which the library collects a body grows by doubling.
constexpr std::size_t body_memory_factor = 2;
constexpr std::string_view head_end = "\n\r\n";

constexpr int bad_request = 400;
constexpr int request_timed_out = 408;
constexpr int too_large = 413;
constexpr int head_too_large = 431;
constexpr int unavailable = 503;

thread_local frontend_stream* current_stream = nullptr;

} // namespace

frontend_stream::frontend_stream(
    int socket,
    int stop_descriptor,
    const frontend_limits& limits,
    const std::atomic<std::size_t>& waiting_count,
    request_memory& memory)
    : socket_(socket)
    , stop_descriptor_(stop_descriptor)
    , limits_(limits)
    , waiting_count_(waiting_count)
    , claim_(memory, socket)
{
    current_stream = this;
}

frontend_stream::~frontend_stream()
{
    current_stream = nullptr;
}

frontend_stream* frontend_stream::current() noexcept
{
    return current_stream;
}

bool frontend_stream::wait_for_request()
{
    refusal_status_ = 0;
    is_handled_ = false;
    const auto has_byte =
        unread_begin_ != unread_end_ || receive_first(clock_type::now());
    request_start_ = clock_type::now();
    return has_byte;
}

bool frontend_stream::read_head()
{
    head_text_.clear();
    head_position_ = 0;
    body_bytes_ = 0;
    if (!take_empty_lines())
        return false;
    for (;;)
    {
        const auto old_size = head_text_.size();
        const auto new_bytes =
            std::string_view(receive_buffer_.data(), unread_end_)
                .substr(unread_begin_);
        head_text_ += new_bytes;
        // The end may begin in the bytes that were received before.
        const auto search_begin =
            old_size - std::min(old_size, head_end.size() - 1);
        const auto end = head_text_.find(head_end, search_begin);
        if (end != std::string::npos)
        {
            head_text_.resize(end + head_end.size());
            unread_begin_ += head_text_.size() - old_size;
            break;
        }
        unread_begin_ = unread_end_;
        if (head_text_.size() >= limits_.max_head_bytes)
            return refuse(head_too_large);
        if (!hold(head_text_.size()) || !receive_more())
            return false;
    }
    if (head_text_.size() > limits_.max_head_bytes)
        return refuse(head_too_large);
    const auto head = check_request_head(
        head_text_, limits_.max_body_bytes, limits_.max_field_count);
    if (head.refusal_status != 0)
        return refuse(head.refusal_status);
    head_cost_bytes_ =
        2 * head_text_.size() + head.field_count * parsed_field_bytes;
    max_body_bytes_ = head.is_chunked
                          ? max_chunk_overhead * limits_.max_body_bytes +
                                limits_.max_head_bytes
                          : limits_.max_body_bytes;
    return hold(head_cost_bytes_);
}

bool frontend_stream::begin_handling()
{
    const auto bytes = head_cost_bytes_ + body_memory_factor * body_bytes_;
    if (refusal_status_ != 0)
        return false;
    is_handled_ = claim_.set_in_flight(bytes);
    return is_handled_ || refuse(unavailable);
}

void frontend_stream::end_request()
{
    claim_.release();
    head_text_.clear();
    head_position_ = 0;
}

int frontend_stream::refusal_status() const
{
    return is_handled_ ? 0 : refusal_status_;
}

void frontend_stream::discard_response()
{
    send_buffer_.clear();
}

void frontend_stream::require_close() noexcept
{
    is_close_required_ = true;
}

bool frontend_stream::is_close_required() const noexcept
{
    return is_close_required_;
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
    return head_position_ != head_text_.size() || unread_begin_ != unread_end_;
}

bool frontend_stream::is_writable() const
{
    return !is_broken_;
}

ssize_t frontend_stream::read(char* ptr, size_t size)
{
    if (head_position_ != head_text_.size())
    {
        const auto n = std::min(size, head_text_.size() - head_position_);
        std::memcpy(ptr, head_text_.data() + head_position_, n);
        head_position_ += n;
        return static_cast<ssize_t>(n);
    }
    if (refusal_status_ != 0)
        return -1;
    // An interim response (100 Continue) has to be sent before the caller sends
    // the rest of the request.
    if (unread_begin_ == unread_end_ && (!flush() || !receive_more()))
        return is_broken_ || refusal_status_ != 0 ? -1 : 0;
    const auto n = std::min(size, unread_end_ - unread_begin_);
    std::memcpy(ptr, receive_buffer_.data() + unread_begin_, n);
    unread_begin_ += n;
    body_bytes_ += n;
    if (body_bytes_ > max_body_bytes_)
    {
        refuse(too_large);
        return -1;
    }
    if (!hold(head_cost_bytes_ + body_memory_factor * body_bytes_))
        return -1;
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

// Receives the first byte of a request, or returns false at the idle timeout or
// the stop.
bool frontend_stream::receive_first(time_point start_time)
{
    for (;;)
    {
        const auto status = receive();
        if (status != receive_status::no_data)
            return status == receive_status::has_data;
        const auto deadline = deadline_after(
            start_time, limits_.idle_timeout, limits_.busy_idle_timeout);
        if (wait_for_socket(POLLIN, deadline, stop_descriptor_))
            continue;
        const auto now = clock_type::now();
        // The connection that waited for a thread may have got one since.
        const auto was_wanted = now >= deadline && waiting_count_ == 0;
        if (was_wanted && now < start_time + limits_.idle_timeout)
            continue;
        is_broken_ = true;
        return false;
    }
}

// Receives further bytes of a request.
bool frontend_stream::receive_more()
{
    for (;;)
    {
        const auto deadline = deadline_after(
            request_start_, limits_.request_timeout,
            limits_.busy_request_timeout);
        const auto now = clock_type::now();
        // Checked before the bytes, since a fast sender always has some.
        if (now >= deadline)
            return refuse(request_timed_out);
        const auto status = receive();
        if (status == receive_status::has_data)
            return true;
        if (status == receive_status::end_of_stream)
            return claim_.is_given_up() ? refuse(unavailable) : false;
        wait_for_socket(
            POLLIN, std::min(deadline, now + busy_check_period), no_descriptor);
    }
}

// Skips empty lines before a request.
bool frontend_stream::take_empty_lines()
{
    std::size_t byte_count = 0;
    for (;;)
    {
        if (unread_begin_ == unread_end_ && !receive_more())
            return false;
        const auto byte = receive_buffer_[unread_begin_];
        if (byte != '\r' && byte != '\n')
            return true;
        ++unread_begin_;
        if (++byte_count > 2 * limits_.max_empty_lines)
            return refuse(bad_request);
    }
}

// Counts the memory of the request that is being received.
bool frontend_stream::hold(std::size_t bytes)
{
    return claim_.set_receiving(bytes, request_start_) || refuse(unavailable);
}

// Returns false.
bool frontend_stream::refuse(int status)
{
    if (refusal_status_ == 0)
        refusal_status_ = status;
    return false;
}

frontend_stream::time_point frontend_stream::deadline_after(
    time_point start_time,
    std::chrono::milliseconds timeout,
    std::chrono::milliseconds busy_timeout) const
{
    return start_time +
           (waiting_count_ > 0 ? std::min(timeout, busy_timeout) : timeout);
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
