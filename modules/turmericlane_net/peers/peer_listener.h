#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_wire/turmericlane_wire.h>

#include <cstdint>
#include <span>
#include <string>
#include <tuple>

namespace turmericlane
{

/** Address and port that a peer listens on. */
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

/** The authenticated peer of one session. */
struct peer_identity
{
    ordinal instance = 0;
    /** Nonce that the peer's process chose at start-up. */
    std::uint64_t nonce = 0;
    /** Version of the bundle that the peer had in force when it connected. */
    std::uint64_t bundle_version = 0;
    /** Identifies the session within this process; never reused. */
    std::uint64_t session_id = 0;
    /** For an outgoing session the address that this process connected to,
        otherwise the address and port that the peer connected from. */
    peer_address remote_address;
    /** True if this process opened the session. */
    bool is_outgoing = false;
};

/** Receives the events of all sessions.

    The calls for one session are sequential, on_connected first and on_closed
    last; calls for different sessions come from several network threads
    concurrently. No lock is held during a call, so that the listener may send.
    It must return soon, since other sessions share the thread.

    @see peer_network
*/
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /** Called when a peer is authenticated; messages can now be sent to it.
        There may be two sessions with one peer, if both sides connect at the
        same time. */
    virtual void on_connected(const peer_identity& peer) = 0;

    /** Called for each message that arrives, other than hello.
        @param payload  aligned to 8 bytes; valid during the call */
    virtual void on_message(
        const peer_identity& peer,
        frame_type type,
        std::span<const std::uint8_t> payload) = 0;

    /** Called when the session is closed. Messages that were sent through it
        may be lost, even if another session with that peer is open.
        @param cause  connection_lost, a frame error, peer_too_slow, queue_full
                      (write queue overflow) or cancelled (closed by this
                      process) */
    virtual void on_closed(const peer_identity& peer, reason cause) = 0;
};

} // namespace turmericlane
