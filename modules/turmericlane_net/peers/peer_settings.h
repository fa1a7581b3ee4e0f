#pragma once

#include "peer_listener.h"

#include <chrono>
#include <cstddef>

namespace turmericlane
{

/** What a peer_network needs to know. */
struct peer_settings
{
    /** Where to listen; port 0 takes any free port. */
    peer_address listen;
    /** At least one key. */
    shared_key_list keys;
    /** This instance. */
    ordinal instance = 0;
    /** Start-up nonce of this process. */
    std::uint64_t nonce = 0;
    /** Network threads. */
    std::size_t threads = 2;
    /** Bytes that may wait to be written to one peer. A peer that reads so
        slowly that more is waiting is disconnected. */
    std::size_t write_queue_limit_bytes = std::size_t{16} << 20U;
    /** Sessions, authenticated or not; further ones are closed at once. */
    std::size_t session_limit = 8192;
    /** From the connection to the proof of the peer's identity. */
    std::chrono::milliseconds hello_timeout{2000};
    /** From the first byte of a frame to its last. */
    std::chrono::milliseconds frame_timeout{5000};
    std::chrono::milliseconds connect_timeout{2000};
    /** Pause before the second attempt to connect; it doubles with each
        failure, and each pause is drawn from half of it to all of it. */
    std::chrono::milliseconds reconnect_first{50};
    std::chrono::milliseconds reconnect_longest{2000};
};

} // namespace turmericlane
