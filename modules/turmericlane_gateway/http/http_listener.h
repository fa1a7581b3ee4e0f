#pragma once

#include "caller_session.h"

#include <limits>
#include <list>

namespace turmericlane
{

/** What the callers of a listener may use. */
struct caller_resources
{
    /** Counts the memory that is held for callers. */
    std::shared_ptr<caller_memory> memory;
    /** Open connections, at most. */
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

/** Accepts connections at one address and owns their sessions. At the limit of
    the connections, the one whose caller uses it least is closed for a new
    one.

    @see caller_session
*/
class http_listener
{
public:
    /** All references must outlive the listener.
        @param resources  without a memory, it isn't limited */
    http_listener(
        event_context& loop,
        session_handler& handler,
        const clock& time,
        caller_resources resources = {});

    /** Starts to accept connections.
        @returns nothing on success, otherwise the reason for the failure */
    std::optional<std::string>
    listen(const std::string& address, std::uint16_t port);

    /** Takes the connections that wait to be accepted, and stops accepting
        more; the open ones stay. */
    void stop();

    /** Applies the timeouts of the sessions and removes those that have ended.
        To be called every few hundred milliseconds. */
    void sweep();

    /** Closes the connections that carry no request. */
    void close_idle();

    /** Returns the number of connections for which the process has to stay.
        @see caller_session::must_stay */
    std::size_t busy_count() const;

    /** Returns the open connections by state. */
    session_counts count_sessions() const;

    /** Reports the connections whose answers are not delivered when the process
        ends. */
    void report_process_end();

    /** Returns the number of open connections. */
    std::size_t connection_count() const noexcept
    {
        return sessions_.size();
    }

private:
    void accept();
    void start_session(tcp_socket socket);
    /** Closes connections until one more fits.
        @returns false if none can be closed */
    bool make_room();

    session_handler& handler_;
    const clock& clock_;
    caller_resources resources_;
    tcp_acceptor acceptor_;
    loop_timer retry_timer_;
    std::list<std::shared_ptr<caller_session>> sessions_;
};

} // namespace turmericlane
