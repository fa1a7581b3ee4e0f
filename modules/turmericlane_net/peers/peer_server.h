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

/** Accepts TCP connections of peers and hands each to a function.

    Its handlers run in the first network thread. It keeps itself alive until it
    is stopped.

    @see peer_network
*/
class peer_server final : public std::enable_shared_from_this<peer_server>
{
public:
    using tcp = boost::asio::ip::tcp;
    using accepted_handler = std::function<void(tcp::socket)>;

    /** @param threads   must outlive the server
        @param accepted  called in the first network thread */
    peer_server(io_threads& threads, accepted_handler accepted);

    /** Binds and listens.
        @returns nothing on success, otherwise the reason */
    std::optional<std::string> start(const peer_address& at);

    /** Accepts no more connections. Any thread may call. */
    void stop();

    /** The port that is listened on; valid after start. */
    std::uint16_t port() const noexcept;

private:
    void accept();
    void retry_later();

    io_threads& threads_;
    accepted_handler accepted_;
    tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    std::uint16_t port_ = 0;
};

} // namespace turmericlane
