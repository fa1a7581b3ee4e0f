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

/** Keeps an outgoing session to one address open: connects, and reconnects with
    exponential backoff and jitter after a failure or the loss of the session.

    Its handlers run in one network thread. Pending handlers keep it alive until
    it is stopped.

    @see peer_network
*/
class peer_client final : public std::enable_shared_from_this<peer_client>
{
public:
    using tcp = boost::asio::ip::tcp;
    /** Returns a session for a connected socket, or null if the session limit
        is reached or the network is stopped. */
    using session_factory =
        std::function<std::shared_ptr<peer_session>(tcp::socket)>;

    /** @param settings         must outlive the client
        @param create_session   called in the network thread
        @param failure_handler  called in the network thread for each failed
                                connect */
    peer_client(
        boost::asio::io_context& context,
        const peer_settings& settings,
        tcp::endpoint endpoint,
        session_factory create_session,
        std::function<void()> failure_handler);

    /** Starts connecting. Any thread may call. */
    void start();

    /** Stops connecting, and closes the session once its queued messages are
        written. Any thread may call. */
    void stop();

private:
    void connect();
    void on_connected();
    void on_connect_failed();
    void on_session_closed(bool was_open);
    void schedule_reconnect();

    boost::asio::io_context& context_;
    const peer_settings& settings_;
    tcp::endpoint endpoint_;
    session_factory create_session_;
    std::function<void()> failure_handler_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<peer_session> session_;
    std::chrono::milliseconds reconnect_delay_;
    std::minstd_rand random_engine_;
    bool is_stopped_ = false;
};

} // namespace turmericlane
