#pragma once

#include "io_threads.h"
#include "peer_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmericlane
{

/** Accepts TCP connections of peers and passes each to a handler.

    Its handlers run in the first network thread. Pending handlers keep it alive
    until it is stopped.

    @see peer_network
*/
class peer_server final : public std::enable_shared_from_this<peer_server>
{
public:
    using tcp = boost::asio::ip::tcp;
    using connection_handler = std::function<void(tcp::socket)>;

    /** @param threads  must outlive the server
        @param handler  called in the first network thread */
    peer_server(io_threads& threads, connection_handler handler);

    /** Binds and listens.
        @returns nothing on success, otherwise an error message */
    std::optional<std::string> start(const peer_address& address);

    /** Stops accepting connections. Any thread may call. */
    void stop();

    /** Returns the port that is listened on; valid after start. */
    std::uint16_t port() const noexcept;

private:
    void accept();
    void schedule_accept_retry();

    io_threads& threads_;
    connection_handler connection_handler_;
    tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    std::uint16_t port_ = 0;
};

} // namespace turmericlane
