#pragma once

#include "caller_session.h"

#include <list>

namespace turmericlane
{

/** Accepts connections at one address and keeps their sessions.

    @see caller_session
*/
class http_listener
{
public:
    /** All references must outlive the listener. */
    http_listener(
        event_context& loop, session_handler& handler, const clock& time);

    /** Starts to accept.
        @returns nothing on success, otherwise the reason */
    std::optional<std::string>
    listen(const std::string& address, std::uint16_t port);

    /** Accepts no more connections. */
    void stop();

    /** Applies the time limits of the sessions. */
    void sweep();

    /** Closes the connections that carry no request. */
    void close_idle();

    /** Requests that are handled or whose answers are written. */
    std::size_t busy() const;

    /** Open connections. */
    std::size_t size() const noexcept
    {
        return sessions_.size();
    }

private:
    void accept();

    session_handler& handler_;
    const clock& clock_;
    tcp_acceptor acceptor_;
    loop_timer retry_;
    std::list<std::shared_ptr<caller_session>> sessions_;
};

} // namespace turmericlane
