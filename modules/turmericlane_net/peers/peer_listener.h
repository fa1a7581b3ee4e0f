#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_wire/turmericlane_wire.h>

#include <cstdint>
#include <span>
#include <string>
#include <tuple>

namespace turmericlane
{

/** Where a peer listens. */
struct peer_address
{
    /** Numeric IP address. */
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const peer_address&, const peer_address&) = default;
    friend bool operator<(const peer_address& a, const peer_address& b)
    {
        return std::tie(a.host, a.port) < std::tie(b.host, b.port);
    }
};

/** The authenticated other side of one session. */
struct peer_identity
{
    ordinal instance = 0;
    /** Start-up nonce of the peer's process. */
    std::uint64_t nonce = 0;
    /** Version of the bundle that the peer had in force when it connected. */
    std::uint64_t bundle_version = 0;
    /** Number of the session within this process; never used twice. */
    std::uint64_t session = 0;
    /** Address that this side connected to; for a session that the peer opened,
        the address and port that the peer connected from. */
    peer_address remote;
    /** True if this side opened the session. */
    bool outgoing = false;
};

/** Receives the events of all sessions.

    The calls for one session come one after the other, on_connected first and
    on_closed last; calls for different sessions come from several network
    threads at the same time. No lock is held during a call, so that the
   listener may send. It must return soon: other sessions wait for the thread.

    @see peer_network
*/
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /** A peer is authenticated; messages can be sent to it. There may be two
        sessions with one peer, when both sides connect at the same time. */
    virtual void on_connected(const peer_identity& peer) = 0;

    /** A message arrived, other than hello.
        @param payload  aligned to 8 bytes; valid during the call */
    virtual void on_message(
        const peer_identity& peer,
        frame_type type,
        std::span<const std::uint8_t> payload) = 0;

    /** The session is closed. Messages that were sent through it may be lost,
        even if another session with that peer is open.
        @param why  connection_lost, a frame error, peer_too_slow, queue_full
                    (write queue overflow) or cancelled (closed by this side) */
    virtual void on_closed(const peer_identity& peer, reason why) = 0;
};

} // namespace turmericlane
