#include "feed_cache.h"

#include "feed_body.h"

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

constexpr auto lifetime = 250ms;

} // namespace

const std::string& feed_cache::body(
    const store_follower& follower,
    peer_channel& peers,
    std::uint64_t after,
    time_point now)
{
    if (after_ == after && through_ == follower.revision() &&
        now - made_ < lifetime)
        return body_;
    auto message = follower.feed_since(after);
    // It may be handed out until the end of its lifetime.
    message.age += lifetime;
    after_ = after;
    through_ = message.last_revision;
    made_ = now;
    const auto encoded = peers.encode_feed(message);
    body_ = encoded.empty() ? std::string() : compress_body(encoded);
    return body_;
}

} // namespace turmericlane
