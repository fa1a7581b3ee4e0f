#include "frontend_server.h"

#include "connection_queue.h"
#include "frontend_stream.h"

#include <boost/beast/http/status.hpp>

#include <array>
#include <cerrno>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time for which bytes from the caller are discarded after the last answer. */
constexpr auto discard_timeout = 1s;
constexpr auto discard_poll_timeout = 20ms;

/** True if the caller's system has not acknowledged all bytes. */
bool has_unacknowledged_bytes(int socket)
{
    int count = 0;
    return ::ioctl(socket, SIOCOUTQ, &count) == 0 && count > 0;
}

/** Ends the stream and discards what the caller still sends until it has the
    answer. Closing a connection with unread bytes resets it, which loses what
    the caller's system has not got. */
void discard_input(int socket)
{
    ::shutdown(socket, SHUT_WR);
    std::array<char, 4096> buf{};
    const auto end_time = std::chrono::steady_clock::now() + discard_timeout;
    while (std::chrono::steady_clock::now() < end_time)
    {
        const auto n = ::recv(socket, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0)
            continue;
        const auto would_block = errno == EAGAIN || errno == EINTR;
        if (n == 0 || !would_block || !has_unacknowledged_bytes(socket))
            return;
        pollfd readable{socket, POLLIN, 0};
        ::poll(&readable, 1, static_cast<int>(discard_poll_timeout.count()));
    }
}

} // namespace

frontend_server::frontend_server(settings values, refusal_writer writer)
    : settings_(values)
    , refusal_writer_(std::move(writer))
    , memory_(settings_.max_memory_bytes)
    , stop_descriptor_(::eventfd(0, EFD_CLOEXEC))
{
    new_task_queue = [this]
    {
        return new connection_queue(
            settings_.threads, settings_.max_connections - settings_.threads,
            waiting_count_, [this] { idle_connections_.close_one(); });
    };
    set_socket_options(
        [this](socket_t socket)
        {
            // The library's default also sets SO_REUSEPORT, which would let a
            // second process bind the port and receive half of the connections
            // unnoticed.
            int enabled = 1;
            ::setsockopt(
                socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
            listening_descriptor_ = socket;
        });
}

frontend_server::~frontend_server()
{
    ::close(stop_descriptor_);
}

void frontend_server::apply_backlog()
{
    // The library listens with a backlog of 5, a constant of its build. When
    // more callers connect at the same time, the others would have to wait for
    // a TCP retransmission.
    ::listen(listening_descriptor_, settings_.listen_backlog);
}

void frontend_server::drain()
{
    is_draining_ = true;
    // The event is never read, so that it wakes every idle connection.
    ::eventfd_write(stop_descriptor_, 1);
}

std::size_t frontend_server::requests_in_flight() const
{
    return requests_in_flight_;
}

bool frontend_server::process_and_close_socket(socket_t socket)
{
    if (!connection_queue::is_refusing())
    {
        serve_connection(socket);
        discard_input(socket);
    }
    ::close(socket);
    return true;
}

void frontend_server::serve_connection(int socket)
{
    frontend_stream stream(
        socket, stop_descriptor_, settings_.limits, waiting_count_, memory_);
    bool is_kept_open = true;
    bool has_carried_request = false;
    while (is_kept_open && wait_for_request(stream, has_carried_request))
    {
        ++requests_in_flight_;
        is_kept_open = serve_request(stream) && !is_draining_;
        has_carried_request = true;
        --requests_in_flight_;
    }
}

bool frontend_server::wait_for_request(
    frontend_stream& stream, bool has_carried_request)
{
    const idle_connection idle(
        idle_connections_, stream.socket(), has_carried_request);
    return stream.wait_for_request();
}

// Returns true if the connection can carry another request.
bool frontend_server::serve_request(frontend_stream& stream)
{
    bool is_kept_open = false;
    bool is_closed = false;
    if (stream.read_head())
        is_kept_open =
            process_request(stream, is_draining_, is_closed, nullptr);
    if (stream.refusal_status() != 0)
    {
        write_refusal(stream);
        is_kept_open = false;
    }
    is_kept_open = stream.flush() && is_kept_open && !is_closed &&
                   !stream.is_close_required();
    stream.end_request();
    return is_kept_open;
}

void frontend_server::write_refusal(frontend_stream& stream)
{
    const auto status = stream.refusal_status();
    const auto [body, content_type] = refusal_writer_(status);
    namespace http = boost::beast::http;
    const std::string phrase(http::obsolete_reason(
        http::int_to_status(static_cast<unsigned>(status))));
    stream.discard_response();
    const auto text = "HTTP/1.1 " + std::to_string(status) + ' ' + phrase +
                      "\r\nContent-Type: " + content_type +
                      "\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\nConnection: close\r\n\r\n" + body;
    stream.write(text.data(), text.size());
}

} // namespace turmericlane
