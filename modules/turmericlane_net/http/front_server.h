#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstddef>

namespace turmericlane
{

/** The HTTP library's server with its own loop for each connection.

    The loop knows which connections are idle, so that a stop need not wait
   until they time out, and cuts off no request.

    @see http_front, front_stream
*/
class front_server final : public httplib::Server
{
public:
    /** @param listen_backlog  connections that may wait to be accepted
        @param keep_alive      how long an idle connection is kept */
    front_server(int listen_backlog, std::chrono::milliseconds keep_alive);
    ~front_server() override;
    front_server(const front_server&) = delete;
    front_server& operator=(const front_server&) = delete;

    /** Sets the backlog. To be called after the bind, before the accepts. */
    void apply_backlog();

    /** Ends idle connections, and the others once their request is answered.
        To be called after Server::stop. */
    void drain();

    /** Requests that are being read, handled or answered. */
    std::size_t in_flight() const;

private:
    bool process_and_close_socket(socket_t sock) override;
    void serve(int socket);

    const int listen_backlog_;
    const std::chrono::milliseconds keep_alive_;
    int listening_descriptor_ = -1;
    /** An eventfd, readable once the server drains. */
    const int stop_descriptor_;
    std::atomic<bool> draining_ = false;
    std::atomic<std::size_t> in_flight_ = 0;
};

} // namespace turmericlane
