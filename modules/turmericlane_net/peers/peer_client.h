#pragma once

#include "peer_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>

namespace turmericlane
{

/** Keeps an outgoing session to one address open: connects, and connects again
    with growing, jittered pauses after a failure or the loss of the session.

    Its handlers run in one network thread. It keeps itself alive until it is
    stopped.

    @see peer_network
*/
class peer_client final : public std::enable_shared_from_this<peer_client>
{
public:
    using tcp = boost::asio::ip::tcp;
    /** Makes a session for a connected socket, or null if there is no place. */
    using session_maker =
        std::function<std::shared_ptr<peer_session>(tcp::socket)>;

    /** @param settings  must outlive the client
        @param make      called in the network thread
        @param failed    called in the network thread for each connect that
                         failed */
    peer_client(
        boost::asio::io_context& context,
        const peer_settings& settings,
        tcp::endpoint to,
        session_maker make,
        std::function<void()> failed);

    /** Begins to connect. Any thread may call. */
    void start();

    /** Stops connecting and lets the session end once its queued messages are
        written. Any thread may call. */
    void stop();

private:
    void connect();
    void on_connected();
    void on_failed();
    void on_session_end(bool was_open);
    void connect_later();

    boost::asio::io_context& context_;
    const peer_settings& settings_;
    tcp::endpoint to_;
    session_maker make_;
    std::function<void()> failed_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<peer_session> session_;
    std::chrono::milliseconds pause_;
    std::minstd_rand random_;
    bool stopped_ = false;
};

} // namespace turmericlane
