#pragma once

#include "peer_channel.h"

namespace turmericlane
{

/** Caches the answer to peers that pull changes of the store. Many peers ask
    for the same changes at about the same time, so an answer is reused for a
    short time.

    @see feed_puller, store_follower
*/
class feed_cache
{
public:
    /** Returns the compressed body of an answer; empty if the changes cannot be
        encoded.
        @param follower  has the changes
        @param peers     encodes them
        @param era       era of the revision; std::nullopt for a peer of a
                         build that states none
        @param revision  revision up to which the peer's state is complete */
    const std::string& body(
        const store_follower& follower,
        peer_channel& peers,
        std::optional<store_era> era,
        std::uint64_t revision,
        time_point now);

private:
    std::optional<store_era> era_;
    std::uint64_t revision_ = 0;
    /** Position of the follower when the body was made. */
    store_position position_;
    time_point expiry_time_{};
    std::string body_;
};

} // namespace turmericlane
