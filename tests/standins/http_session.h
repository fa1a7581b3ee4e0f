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

/** Numbers of connections of one port. */
struct connection_counts
{
    std::size_t open = 0;
    std::size_t peak = 0;
    /** Connections closed at once because the limit was reached. */
    std::uint64_t over_limit = 0;
};

/** One HTTP connection with one request at a time.

    The handler receives the session, which holds the request. It or a later
    task calls reply, or drop, or neither to simulate a lost reply. To be used
    on the thread of the I/O context only.

    @see http_server
*/
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    using handler = std::function<void(const std::shared_ptr<http_session>&)>;

    /** Takes over an accepted connection.
        @param connect_cost  delay before the first request is handled
        @param counts        numbers that include this connection already; its
                             end is subtracted from them */
    http_session(
        boost::asio::ip::tcp::socket socket,
        std::chrono::microseconds connect_cost,
        handler request_handler,
        std::shared_ptr<connection_counts> counts);
    ~http_session();

    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    /** Starts to read requests. */
    void start();

    /** Returns the method of the request, in capitals. */
    std::string_view method() const;

    /** Returns the path of the request without its query string. */
    std::string_view path() const;

    /** Returns the number that a parameter of the query string has, or the
        default value if there is none. */
    std::uint64_t
    parameter(std::string_view name, std::uint64_t default_value) const;

    /** Returns the value of a header field, empty if there is none. */
    std::string header(std::string_view name) const;

    const std::string& body() const;

    /** Sends a reply with a JSON body, then reads the next request. Each
        request gets at most one reply. Does nothing on a closed connection. */
    void reply(unsigned status, std::string body);

    /** Closes the connection without a reply. */
    void drop();

    /** True if either side has closed the connection. */
    bool is_closed() const noexcept;

private:
    void read();
    void handle_request();
    void watch_for_close();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connect_timer_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    boost::beast::http::response<boost::beast::http::string_body> response_;
    handler handler_;
    std::shared_ptr<connection_counts> counts_;
    std::chrono::microseconds connect_cost_;
    /** Number of requests and replies. A wait for the end of the
        connection that started before the last of them is ignored. */
    std::uint64_t generation_ = 0;
    /** True while the request has no reply. */
    bool awaits_reply_ = false;
    bool is_closed_ = false;
};

} // namespace turmericlane::standins
