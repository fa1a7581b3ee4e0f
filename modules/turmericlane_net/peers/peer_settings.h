#pragma once

#include "peer_listener.h"

#include <chrono>
#include <cstddef>

namespace turmericlane
{

/** Settings of a peer_network. */
struct peer_settings
{
    /** Address to listen on; port 0 selects any free port. */
    peer_address listen_address;
    /** Shared keys that authenticate peers; at least one. */
    shared_key_list keys;
    /** Ordinal of this instance. */
    ordinal instance = 0;
    /** Nonce that this process chose at start-up. */
    std::uint64_t nonce = 0;
    /** Number of network threads. */
    std::size_t threads = 2;
    /** Limit of the bytes that wait to be written to one peer. A peer that
        reads so slowly that more are waiting is disconnected. */
    std::size_t write_queue_limit_bytes = std::size_t{16} << 20U;
    /** Limit of the sessions, authenticated or not; further connections are
        closed at once. */
    std::size_t session_limit = 8192;
    /** Limit of the incoming sessions whose peer has not proved its identity.
        Above it the oldest of them is closed, so that connections without a
        hello leave descriptors to others. */
    std::size_t unproven_session_limit = 256;
    /** Time from the connect until the peer must have proved its identity. */
    std::chrono::milliseconds hello_timeout{2000};
    /** Time from the first byte of a frame to its last. */
    std::chrono::milliseconds frame_timeout{5000};
    std::chrono::milliseconds connect_timeout{2000};
    /** Upper bound of the delay before the first reconnect; it doubles with
        each failure up to max_reconnect_delay. The delay itself is random,
        between half of the bound and the bound. */
    std::chrono::milliseconds initial_reconnect_delay{50};
    std::chrono::milliseconds max_reconnect_delay{2000};
};

} // namespace turmericlane
