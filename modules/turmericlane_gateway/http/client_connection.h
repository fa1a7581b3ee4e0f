#pragma once

#include "../loop/event_loop.h"
#include "http_message.h"
#include "response_body.h"
#include "response_memory.h"

#include <turmericlane_core/turmericlane_core.h>

#include <boost/beast/http/parser.hpp>

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
    /** The other side did not acknowledge sent bytes in time. */
    unacknowledged,
    /** It received bytes that are not a valid answer, or that answer no
        request. Nothing that they say is to be relied on. */
    malformed,
    /** The answer was too large, or the process had no memory left for it. */
    too_large
};

class client_connection;

/** Text of a request in parts. The attempts of a request share those that are
    the same in each, so that slow searchers don't multiply its memory. */
struct request_parts
{
    /** First and last part; null if empty. */
    std::shared_ptr<const std::string> head;
    std::shared_ptr<const std::string> tail;
    /** Complete lines between the two. */
    std::string fields;
};

/** Receives the events of a client_connection. */
class client_listener
{
public:
    virtual ~client_listener() = default;

    /** The connection is open. */
    virtual void on_open(client_connection& connection) = 0;

    /** An answer has been received. The listener has to check that it belongs
        to the present request: it may be a late one to an earlier request. */
    virtual void
    on_response(client_connection& connection, server_response&& response) = 0;

    /** The connection ends before the answer was complete; on_end follows. The
        head of the answer had arrived, and the rest was valid so far. */
    virtual void on_incomplete_response(
        client_connection&,
        unsigned /*status*/,
        const boost::beast::http::fields&)
    {
    }

    /** The connection has ended without a call of close; it must not be used
        again. */
    virtual void
    on_end(client_connection& connection, connection_end reason) = 0;
};

/** An HTTP connection to a server that carries one request at a time.

    The object stays alive while operations are pending. No event is reported
    after close. Only the thread that runs the event loop may use it.

    @see client_listener
*/
class client_connection : private response_holder,
                          public std::enable_shared_from_this<client_connection>
{
public:
    /** @param loop      event loop
        @param listener  must outlive the connection, or call close before
        @param memory    bounds the memory of incomplete answers; must outlive
                         the connection, or close must be called before */
    client_connection(
        event_context& loop,
        client_listener& listener,
        response_memory* memory = nullptr);
    ~client_connection() override;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /** Starts to connect; client_listener::on_open or on_end follows.
        @param address  numeric IP address */
    void open(const std::string& address, std::uint16_t port);

    /** Sends a request; the connection must be open and idle. The parts are
        released once they have been sent.
        @param expects_body  false for a method whose answer has no body */
    void send(request_parts parts, bool expects_body);

    /** The same for a request that is sent once.
        @param text  complete text of the request */
    void send(std::string text, bool expects_body);

    /** Sets how long sent bytes may stay unacknowledged before the connection
        ends; the default is 2.5 seconds. */
    void set_acknowledgement_timeout(duration timeout);

    /** Continues to wait for the answer to the present request, after an answer
        that belonged to an earlier request. */
    void expect_another_response();

    /** Closes the connection at once. */
    void close();

    /** True if a request may be sent. */
    bool is_idle() const noexcept
    {
        return has_opened_ && !is_awaiting_response_ && socket_.is_open();
    }

    /** True once the connection has been opened. */
    bool has_opened() const noexcept
    {
        return has_opened_;
    }

private:
    using parser = boost::beast::http::response_parser<response_body>;

    void give_up_response() override;
    void start_parser();
    void restart_parser();
    void account_memory();
    void release_memory();
    void read();
    void on_bytes_read(std::size_t size);
    void on_read_error(boost::system::error_code ec);
    void parse();
    bool has_invalid_head() const;
    void deliver_response();
    void end(connection_end reason);

    tcp_socket socket_;
    client_listener* listener_;
    response_memory* memory_;
    /** True while memory_ counts the present answer. */
    bool is_accounted_ = false;
    /** Bytes of interim answers to the present request. */
    std::size_t interim_bytes_ = 0;
    /** As it was set last. */
    duration acknowledgement_timeout_{};
    bool has_opened_ = false;
    bool is_awaiting_response_ = false;
    bool expects_body_ = true;
    bool is_writing_ = false;
    /** The request that is being sent. */
    request_parts request_;
    std::string unparsed_bytes_;
    std::optional<parser> parser_;
};

} // namespace turmericlane
