#pragma once

#include "caller_session.h"

#include <list>

namespace turmericlane
{

/** Accepts connections at one address and owns their sessions.

    @see caller_session
*/
class http_listener
{
public:
    /** All references must outlive the listener. */
    http_listener(
        event_context& loop, session_handler& handler, const clock& time);

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

    session_handler& handler_;
    const clock& clock_;
    tcp_acceptor acceptor_;
    loop_timer retry_timer_;
    std::list<std::shared_ptr<caller_session>> sessions_;
};

} // namespace turmericlane
