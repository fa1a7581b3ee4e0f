#pragma once

#include "../loop/event_loop.h"
#include "http_message.h"

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_forwarding/model/route_configuration.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace turmericlane
{

class caller_session;

/** Handles the requests of caller sessions. */
class session_handler
{
public:
    virtual ~session_handler() = default;

    /** A request has arrived; caller_session::respond must follow, now or
        later. */
    virtual void on_request(
        const std::shared_ptr<caller_session>& from,
        caller_request&& request) = 0;

    /** The caller has closed the connection while its request was handled. */
    virtual void on_caller_left(caller_session& from) = 0;

    /** A malformed request was refused.
        @param status  status of the answer */
    virtual void on_bad_request(unsigned status) = 0;

    /** Bounds on what callers may send. */
    virtual const caller_limits& limits() const = 0;

    /** True if connections are to be closed after the answer under way. */
    virtual bool closing() const = 0;
};

/** A connection of a caller, which carries one request at a time.

    While a request is handled, the session goes on reading, so that it notices
    when the caller leaves; a next request waits. The session keeps itself alive
    while operations are pending.

    @see http_listener
*/
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    /** @param socket   accepted connection
        @param handler  must outlive the session
        @param time     clock; must outlive the session */
    caller_session(
        tcp_socket socket, session_handler& handler, const clock& time);

    /** Starts to read. */
    void start();

    /** Answers the request under way.
        @param status  status of the answer
        @param fields  complete lines of header fields, without the length
        @param body    body; left out in an answer to HEAD
        @param close   closes the connection afterwards */
    void respond(
        unsigned status,
        std::string_view fields,
        std::string_view body,
        bool close = false);

    /** Number that identifies the request under way, for its handler. */
    std::uint64_t request_number = 0;

    /** Applies the time limits of the handler; to be called every few hundred
        milliseconds.
        @returns false if the session has ended */
    bool sweep();

    /** Time that the way to the caller and back takes for the request under
        way, as far as the system has measured it, with the opening of the
        connection for the first request; zero if not known. */
    duration travel_time();

    /** Closes the connection if no request is under way. */
    void close_if_idle();

    /** True while a request is handled or its answer is written. */
    bool busy() const noexcept
    {
        return state_ == state::handling || state_ == state::writing;
    }

private:
    enum class state : std::uint8_t
    {
        idle,
        reading,
        handling,
        writing,
        /** The answer is sent; what the caller still sends is discarded. */
        draining,
        closed
    };

    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void take(std::size_t size);
    void parse();
    void start_parser();
    void on_parse_error(boost::system::error_code ec);
    void refuse(unsigned status);
    void on_written(boost::system::error_code ec, bool close);
    void close();

    tcp_socket socket_;
    session_handler& handler_;
    const clock& clock_;
    state state_ = state::idle;
    time_point since_;
    bool keep_alive_ = true;
    bool head_ = false;
    bool paused_ = false;
    bool first_ = true;
    std::string incoming_;
    std::string outgoing_;
    std::optional<parser> parser_;
};

} // namespace turmericlane
