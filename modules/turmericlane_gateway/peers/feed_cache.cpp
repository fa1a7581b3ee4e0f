#include "feed_cache.h"

#include "feed_body.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

constexpr auto body_lifetime = 250ms;

} // namespace

const std::string& feed_cache::body(
    const store_follower& follower,
    peer_channel& peers,
    std::optional<store_era> era,
    std::uint64_t revision,
    time_point now)
{
    if (era_ == era && revision_ == revision &&
        position_ == follower.position() && now < expiry_time_)
        return body_;
    auto message = follower.feed_since(era, revision);
    // The age has to hold until the last use of the answer.
    message.age += body_lifetime;
    auto lifetime = duration(body_lifetime);
    // Values whose retention is over are not sent.
    if (message.retention_time_left > duration::zero())
        lifetime = std::min(lifetime, message.retention_time_left);
    era_ = era;
    revision_ = revision;
    position_ = follower.position();
    expiry_time_ = now + lifetime;
    const auto encoded = peers.encode_feed(message);
    body_ = encoded.empty() ? std::string() : compress_body(encoded);
    return body_;
}

} // namespace turmericlane
