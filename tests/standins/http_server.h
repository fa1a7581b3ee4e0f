#pragma once

#include "http_session.h"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace turmericlane::standins
{

/** A port that accepts HTTP connections.

    To be used only on the thread of the I/O context, which must outlive the
    server.

    @see http_session
*/
class http_server
{
public:
    /** Limits of one port. */
    struct options
    {
        /** Highest number of open connections; 0 for no limit. */
        std::size_t connection_limit = 0;
        /** Delay before the first request of each connection is handled. */
        std::chrono::microseconds connect_cost{0};
    };

    /** Prepares a port; open starts it. */
    http_server(
        boost::asio::io_context& context,
        boost::asio::ip::tcp::endpoint endpoint,
        options limits,
        http_session::handler request_handler);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Starts to accept connections. Throws boost::system::system_error if the
        port is in use. Does nothing if this server has opened it already. */
    void open();

    /** Closes the port and all open connections. */
    void close();

    /** Returns the numbers of connections since the start. */
    const connection_counts& counts() const noexcept;

private:
    void accept();
    void add_session(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint endpoint_;
    boost::asio::ip::tcp::acceptor acceptor_;
    options limits_;
    http_session::handler handler_;
    std::shared_ptr<connection_counts> counts_;
    std::vector<std::weak_ptr<http_session>> sessions_;
};

} // namespace turmericlane::standins
