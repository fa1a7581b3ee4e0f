#pragma once

#include "../loop/event_loop.h"
#include "caller_memory.h"
#include "connection_report.h"
#include "http_message.h"
#include "session_counts.h"

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

    /** A request has been received; the handler must call
        caller_session::respond, now or later. */
    virtual void on_request(
        const std::shared_ptr<caller_session>& session,
        caller_request&& request) = 0;

    /** The caller has closed the connection while its request was being
        handled. */
    virtual void on_caller_left(caller_session& session) = 0;

    /** A malformed request was refused.
        @param status  HTTP status of the answer */
    virtual void on_bad_request(unsigned status) = 0;

    /** A connection ended before the answer to its latest request was wholly
        delivered, or with unread bytes of a further request. */
    virtual void on_connection_ended(caller_session&, const connection_report&)
    {
    }

    /** Returns the limits on what callers may send. */
    virtual const caller_limits& limits() const = 0;

    /** True if each connection is to be closed after its next answer. */
    virtual bool is_closing() const = 0;
};

/** A connection of a caller, which carries one request at a time.

    While a request is being handled, the session continues to read, so that it
    notices when the caller closes the connection; the next request waits. The
    object stays alive while operations are pending.

    @see http_listener
*/
class caller_session : public std::enable_shared_from_this<caller_session>,
                       private caller_memory_holder
{
public:
    /** @param socket   accepted connection
        @param handler  must outlive the session
        @param memory   counts what the session holds
        @param time     must outlive the session */
    caller_session(
        tcp_socket socket,
        session_handler& handler,
        std::shared_ptr<caller_memory> memory,
        const clock& time);

    /** Starts to read requests. */
    void start();

    /** Sends the answer to the current request.
        @param status      HTTP status
        @param fields      complete lines of header fields, without the
                           Connection and Content-Length fields
        @param body        body; not sent in an answer to HEAD
        @param must_close  true to close the connection after the answer */
    void respond(
        unsigned status,
        std::string_view fields,
        std::string_view body,
        bool must_close = false);

    /** The handler's number for the current request; the session does not use
        it. */
    std::uint64_t request_number = 0;

    /** The caller's id of the latest request, for logs; set by the handler. */
    std::string request_label;

    /** Applies the timeouts; to be called every few hundred milliseconds.
        @returns false if the session has ended */
    bool sweep();

    /** Returns the network time between caller and instance for the current
        request, as the system has measured it: one round trip, or two for the
        first request, whose connection had to be opened; zero if not known. */
    duration round_trip_time();

    /** Closes the connection if it carries no request. One that has received
        bytes stays; one whose caller hasn't got its answer yet closes later.
        @param cause  for the report */
    void close_if_idle(caller_connection_end cause);

    /** How much the caller uses its connection, for comparing; the least comes
        first: connections that never carried a complete request, then the ones
        that have waited longest for the next. */
    using usage = std::pair<bool, time_point>;

    /** Returns the usage of a connection that carries no complete request;
        nothing if a request is being handled or answered. */
    std::optional<usage> unused_since() const noexcept;

    /** Ends the connection of a caller that sends no complete request, to make
        room for others. An incomplete request gets a refusal.
        @returns false if the connection can't be ended */
    bool end_unused();

    /** True if the connection has ended. */
    bool is_closed() const noexcept
    {
        return state_ == state::closed;
    }

    /** Adds this session to the counts unless it has ended. */
    void add_to(session_counts& counts);

    /** Reports to session_handler::on_connection_ended what is not delivered
        yet. To be called when the process ends. */
    void report_process_end();

    /** True while a request is being handled or its answer is being written. */
    bool is_busy() const noexcept
    {
        return state_ == state::handling || state_ == state::writing;
    }

    /** True while the end of the process would lose something: a request that
        has arrived or an answer that the caller's system hasn't got. */
    bool must_stay();

private:
    enum class state : std::uint8_t
    {
        idle,
        reading,
        handling,
        writing,
        /** The last answer has been sent; further bytes from the caller are
            discarded. */
        draining,
        closed
    };

    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    void give_up_memory() override;
    /** Tells the caller_memory what the session holds. */
    void update_memory();
    std::size_t held_bytes() const;

    void read();
    void on_bytes_read(std::size_t size);
    void parse();
    /** Limit of a head: the configured one, or what the parser can store. */
    std::size_t max_head_bytes() const;
    /** True if the end of the request's head has been received. */
    bool is_head_received();
    void on_request_read();
    void start_parser();
    void on_parse_error(boost::system::error_code ec);
    void refuse(unsigned status, std::string_view fields = {});
    void on_written(boost::system::error_code ec, bool must_close);
    /** Sends the end of the stream and discards what the caller still sends. */
    void discard();
    void close(caller_connection_end cause);
    /** Returns the bytes in the system's buffers for this connection that the
        other side has not acknowledged. */
    std::size_t unacknowledged_bytes();
    /** Returns the received bytes that were not read yet. */
    std::size_t unread_bytes();
    /** Reports the end of the connection if the answer to a request is not
        wholly delivered or received bytes are unread. */
    void report_end(caller_connection_end cause);

    tcp_socket socket_;
    session_handler& handler_;
    const clock& clock_;
    state state_ = state::idle;
    time_point state_start_;
    bool is_keep_alive_ = true;
    bool is_head_request_ = false;
    bool is_reading_paused_ = false;
    bool is_first_request_ = true;
    std::string unparsed_bytes_;
    std::string response_text_;
    /** Bytes of response_text_ that the system has taken over. */
    std::size_t written_bytes_ = 0;
    std::optional<parser> parser_;
    /** Bytes of an incomplete head that have been searched for its end. */
    std::size_t searched_bytes_ = 0;
    /** Memory of the current request, apart from its body: of the parsed head
        while it is read, then of its text. */
    std::size_t head_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    std::shared_ptr<caller_memory> memory_;
    caller_memory_claim claim_;
};

} // namespace turmericlane
