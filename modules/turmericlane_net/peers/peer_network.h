#pragma once

#include "peer_listener.h"
#include "peer_settings.h"

#include <turmericlane_metrics/turmericlane_metrics.h>

#include <memory>
#include <optional>
#include <string>

namespace turmericlane
{

/** The TCP connections of an instance with its peers.

    It accepts sessions, keeps an outgoing session open to each address that
    was passed to connect, and sends messages. Messages to one instance go
    through the same session while it is open, so that they arrive in order.

    All methods except start and stop may be called from any thread, also from
    the listener.

    @see peer_listener, peer_settings
*/
class peer_network
{
public:
    /** @param listener  receives events; must outlive the network
        @param counters  counts frames and closed connections; must outlive the
                         network */
    peer_network(
        peer_settings settings,
        peer_listener& listener,
        instance_counters& counters);

    /** Stops the network if it runs. */
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /** Listens and starts the threads.
        @returns nothing on success, otherwise an error message */
    std::optional<std::string> start();

    /** Closes all sessions, calling on_closed for each, and joins the threads.
        Must not be called from the listener. */
    void stop();

    /** Returns the port that is listened on; valid after start. */
    std::uint16_t port() const noexcept;

    /** Sets the bundle version that hellos of later sessions carry. */
    void set_bundle_version(std::uint64_t version) noexcept;

    /** Keeps a session to an address open until disconnect: connects, and
        reconnects after each loss. Does nothing if connect was called for this
        address before.
        @returns false if the host is not a numeric address */
    bool connect(const peer_address& address);

    /** Stops connecting to an address and closes the session that connect
        opened. */
    void disconnect(const peer_address& address);

    /** Queues a message for the instance with that ordinal.
        @returns false if there is no session or its write queue overflowed: no
                 byte of the message was or will be sent */
    bool send(ordinal recipient, const encoded_message& message);

    /** Queues a message for the session that connect opened to that address.
        @returns see the other overload */
    bool send(const peer_address& recipient, const encoded_message& message);

    /** Queues a message for one session, such as the one that a request came
        from. */
    bool
    send_to_session(std::uint64_t session_id, const encoded_message& message);

    /** Closes one session, for example because its peer no longer answers. A
        session that connect opened is reopened. */
    void close_session(std::uint64_t session_id);

    /** True if there is an authenticated session with that instance. */
    bool is_connected(ordinal instance) const;

    /** Returns the number of authenticated sessions. */
    std::size_t session_count() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
