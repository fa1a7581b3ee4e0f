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

    It accepts sessions, keeps an outgoing session to each address that it was
    told to connect to, and sends messages. Frames to one ordinal go through the
    same session while that one is open, so that they arrive in order.

    All methods but start and stop may be called from any thread, also from the
    listener.

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
        @returns nothing on success, otherwise the reason */
    std::optional<std::string> start();

    /** Closes all sessions, with an on_closed each, and joins the threads. Not
        to be called from the listener. */
    void stop();

    /** The port that is listened on; valid after start. */
    std::uint16_t port() const noexcept;

    /** States the bundle version for the hellos of later sessions. */
    void set_bundle_version(std::uint64_t version) noexcept;

    /** Keeps a session to an address open: connects, and again after each loss,
        until disconnect. Does nothing if that is done already.
        @returns false if the host is not a numeric address */
    bool connect(const peer_address& to);

    /** Ends what connect began, and closes its session. */
    void disconnect(const peer_address& from);

    /** Queues a message for the instance with that ordinal.
        @returns false if there is no session or its write queue overflowed: no
                 byte of the message has left or will leave */
    bool send(ordinal to, const encoded_message& message);

    /** Queues a message for the session that connect opened to that address. */
    bool send(const peer_address& to, const encoded_message& message);

    /** Queues a message for one session, such as the one a request came by. */
    bool send_to_session(std::uint64_t session, const encoded_message& message);

    /** Closes one session, such as one whose peer no longer answers. A session
        that connect opened is opened again. */
    void close_session(std::uint64_t session);

    /** True if there is an authenticated session with that instance. */
    bool connected(ordinal with) const;

    /** Number of authenticated sessions. */
    std::size_t session_count() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
