#pragma once

#include "peer_channel.h"

namespace turmericlane
{

/** Answers to peers that pull changes of the store. Many ask for the same at
    once, so that an answer is made once in a short time.

    @see feed_puller, store_follower
*/
class feed_cache
{
public:
    /** @param follower  has the state
        @param after     revision up to which the peer is complete
        @returns the compressed body; empty if it cannot be encoded */
    const std::string& body(
        const store_follower& follower,
        peer_channel& peers,
        std::uint64_t after,
        time_point now);

private:
    std::uint64_t after_ = 0;
    std::uint64_t through_ = 0;
    time_point made_{};
    std::string body_;
};

} // namespace turmericlane
