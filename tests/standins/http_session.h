#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace turmericlane::standins
{

/** Connections of one port. */
struct connection_counts
{
    std::size_t open = 0;
    std::size_t peak = 0;
    /** Connections that were closed because the limit had been reached. */
    std::uint64_t over_limit = 0;
};

/** One HTTP connection with one request at a time.

    The handler receives the session with the request in it, and calls reply
    later, or drop, or neither (a reply that is lost). All on the thread of the
    I/O context.

    @see http_server
*/
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    using handler = std::function<void(const std::shared_ptr<http_session>&)>;

    /** Takes over an accepted connection, which is counted already.
        @param connect_cost  delay of the first request on the connection */
    http_session(
        boost::asio::ip::tcp::socket socket,
        std::chrono::microseconds connect_cost,
        handler handle,
        std::shared_ptr<connection_counts> counts);
    ~http_session();

    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    /** Starts to read requests. */
    void start();

    /** Method of the request, in capitals. */
    std::string_view method() const;

    /** Path of the request without parameters. */
    std::string_view path() const;

    /** Number in the query part of the target, or the value for its absence. */
    std::uint64_t parameter(std::string_view name, std::uint64_t absent) const;

    /** Value of a header field, or an empty text. */
    std::string header(std::string_view name) const;

    /** Body of the request. */
    const std::string& body() const;

    /** Sends the reply, JSON in body, and then reads the next request. The
        request may not have a reply yet. */
    void reply(unsigned status, std::string body);

    /** Closes the connection without a reply. */
    void drop();

    /** True if the connection was closed by either side. */
    bool closed() const noexcept;

private:
    void read();
    void handle_request();
    void watch_peer();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connect_timer_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    boost::beast::http::response<boost::beast::http::string_body> response_;
    handler handle_;
    std::shared_ptr<connection_counts> counts_;
    std::chrono::microseconds connect_cost_;
    /** Counts requests and replies, so that a wait for the end of the
        connection that began earlier is ignored. */
    std::uint64_t step_ = 0;
    /** The request has no reply yet. */
    bool pending_ = false;
    bool closed_ = false;
};

} // namespace turmericlane::standins
