#include "front_server.h"

#include "front_stream.h"

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace turmericlane
{

front_server::front_server(
    int listen_backlog, std::chrono::milliseconds keep_alive)
    : listen_backlog_(listen_backlog)
    , keep_alive_(keep_alive)
    , stop_descriptor_(::eventfd(0, EFD_CLOEXEC))
{
    set_socket_options(
        [this](socket_t sock)
        {
            // The library's default also sets SO_REUSEPORT, with which a second
            // process could take over half of the connections unnoticed.
            int on = 1;
            ::setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
            listening_descriptor_ = sock;
        });
}

front_server::~front_server()
{
    ::close(stop_descriptor_);
}

void front_server::apply_backlog()
{
    // The library listens with a backlog of 5, a constant of its build; more
    // callers that connect at the same time would wait for a retransmission.
    ::listen(listening_descriptor_, listen_backlog_);
}

void front_server::drain()
{
    draining_ = true;
    // It is never read, so that it wakes every idle connection.
    ::eventfd_write(stop_descriptor_, 1);
}

std::size_t front_server::in_flight() const
{
    return in_flight_;
}

bool front_server::process_and_close_socket(socket_t sock)
{
    serve(sock);
    ::shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return true;
}

void front_server::serve(int socket)
{
    front_stream stream(socket, stop_descriptor_);
    bool more = true;
    while (more && stream.wait_for_request(keep_alive_))
    {
        ++in_flight_;
        bool closed = false;
        more = process_request(stream, draining_, closed, nullptr);
        more = stream.flush() && more && !closed && !draining_;
        --in_flight_;
    }
}

} // namespace turmericlane
