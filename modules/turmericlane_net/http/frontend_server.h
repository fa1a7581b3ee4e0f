#pragma once

#include "frontend_limits.h"
#include "idle_connections.h"
#include "request_memory.h"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace turmericlane
{

/** The HTTP library's server with a connection loop of its own.

    The loop knows which connections are idle: a stop closes these without
    waiting for their timeout and interrupts no request, and one of them is
    closed when another connection waits for a thread. Requests outside of the
    limits are refused before the library gets them.

    @see http_frontend, frontend_stream
*/
class frontend_server final : public httplib::Server
{
public:
    /** Returns the body of a refusal and its content type. */
    using refusal_writer =
        std::function<std::pair<std::string, std::string>(int status)>;

    /** Settings of a frontend_server. */
    struct settings
    {
        /** Connections that may wait to be accepted. */
        int listen_backlog = 0;
        /** Connections that are served at the same time. */
        std::size_t threads = 1;
        /** Accepted connections, served or waiting; further ones are closed at
            once. */
        std::size_t max_connections = 1;
        /** Limit of the memory for requests and responses. */
        std::size_t max_memory_bytes = 0;
        frontend_limits limits;
    };

    /** @param writer  called for requests that the library doesn't get, by
                       several threads at the same time */
    frontend_server(settings values, refusal_writer writer);
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
    bool
    wait_for_request(class frontend_stream& stream, bool has_carried_request);
    bool serve_request(frontend_stream& stream);
    void write_refusal(frontend_stream& stream);

    const settings settings_;
    const refusal_writer refusal_writer_;
    request_memory memory_;
    idle_connections idle_connections_;
    std::atomic<std::size_t> waiting_count_ = 0;
    int listening_descriptor_ = -1;
    /** An eventfd that is readable once the server is draining. */
    const int stop_descriptor_;
    std::atomic<bool> is_draining_ = false;
    std::atomic<std::size_t> requests_in_flight_ = 0;
};

} // namespace turmericlane
