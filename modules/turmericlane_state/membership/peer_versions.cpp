#include "peer_versions.h"

namespace turmericlane
{

namespace
{

/** Bounds the memory. Above it the versions are forgotten, so that full bundles
    are sent in place of deltas. */
constexpr std::size_t max_peers = 10'000;

} // namespace

bool peer_versions::on_frame(
    std::uint64_t peer,
    std::uint64_t stated_version,
    std::uint64_t version_in_force)
{
    if (versions_.size() >= max_peers && !versions_.contains(peer))
        versions_.clear();
    const auto [position, is_new] = versions_.try_emplace(peer, stated_version);
    const auto is_repeated =
        !is_new && position->second == stated_version && stated_version != 0;
    position->second = stated_version;
    return !is_repeated || stated_version > version_in_force;
}

std::uint64_t peer_versions::version_of(std::uint64_t peer) const
{
    const auto position = versions_.find(peer);
    return position == versions_.end() ? 0 : position->second;
}

} // namespace turmericlane
