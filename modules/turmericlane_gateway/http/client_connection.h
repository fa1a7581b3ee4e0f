#pragma once

#include "../loop/event_loop.h"
#include "http_message.h"

#include <turmericlane_core/turmericlane_core.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <memory>
#include <optional>

namespace turmericlane
{

/** Why a client_connection ended. */
enum class connection_end : std::uint8_t
{
    /** It could not be opened. */
    not_opened,
    /** The other side closed or reset it. */
    closed,
    /** The other side did not acknowledge what was sent. */
    unacknowledged,
    /** Bytes that are no answer, or that belong to no request. */
    malformed
};

class client_connection;

/** Receives the events of a client_connection. */
class client_listener
{
public:
    virtual ~client_listener() = default;

    /** The connection is open. */
    virtual void on_open(client_connection& from) = 0;

    /** The answer to the request under way is complete, or an answer arrived
        that the listener has to match itself. */
    virtual void
    on_response(client_connection& from, server_response&& response) = 0;

    /** The connection has ended by itself; it is not used again. */
    virtual void on_end(client_connection& from, connection_end why) = 0;
};

/** An HTTP connection to a server that carries one request at a time.

    It keeps itself alive while operations are pending. After close no event is
    reported. One thread uses it.

    @see client_listener
*/
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    /** @param loop      event loop
        @param listener  has to outlive the connection or call close */
    client_connection(event_context& loop, client_listener& listener);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /** Connects; on_open or on_end follows.
        @param address  numeric IP address */
    void open(const std::string& address, std::uint16_t port);

    /** Sends a request; the connection must be open and idle.
        @param text           the whole request
        @param body_expected  false for a method whose answer has no body */
    void send(std::string text, bool body_expected);

    /** Sets how long sent bytes may stay unacknowledged before the connection
        ends; a few seconds if it is not called. */
    void set_acknowledgement_time(duration longest);

    /** Expects one more answer to the present request: the last one belonged to
        an earlier request. */
    void expect_another();

    /** Ends the connection at once. */
    void close();

    /** True if a request may be sent. */
    bool idle() const noexcept
    {
        return open_ && !busy_ && socket_.is_open();
    }

    /** True once the connection is open. */
    bool opened() const noexcept
    {
        return open_;
    }

private:
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void start_parser();
    void read();
    void take(std::size_t size);
    void take_end(boost::system::error_code ec);
    void parse();
    void deliver();
    void end(connection_end why);

    tcp_socket socket_;
    client_listener* listener_;
    bool open_ = false;
    bool busy_ = false;
    bool body_expected_ = true;
    bool writing_ = false;
    std::string outgoing_;
    std::string incoming_;
    std::optional<parser> parser_;
};

} // namespace turmericlane
