#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>

namespace turmericlane
{

/** The HTTP library's server with a connection loop of its own.

    The loop knows which connections are idle: a stop closes these without
    waiting for their timeout and interrupts no request.

    @see http_frontend, frontend_stream
*/
class frontend_server final : public httplib::Server
{
public:
    /** @param listen_backlog  connections that may wait to be accepted
        @param idle_timeout    time after which an idle connection is closed */
    frontend_server(int listen_backlog, std::chrono::milliseconds idle_timeout);
    ~frontend_server() override;
    frontend_server(const frontend_server&) = delete;
    frontend_server& operator=(const frontend_server&) = delete;

    /** Sets the backlog of the listening socket. Must be called after the bind
        and before the server accepts connections. */
    void apply_backlog();

    /** Closes idle connections at once, and each other connection when its
        request is answered. Must be called after Server::stop. */
    void drain();

    /** Returns the number of requests that are being read, handled or
        answered. */
    std::size_t requests_in_flight() const;

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve_connection(int socket);

    const int listen_backlog_;
    const std::chrono::milliseconds idle_timeout_;
    int listening_descriptor_ = -1;
    /** An eventfd that is readable once the server is draining. */
    const int stop_descriptor_;
    std::atomic<bool> is_draining_ = false;
    std::atomic<std::size_t> requests_in_flight_ = 0;
};

} // namespace turmericlane
