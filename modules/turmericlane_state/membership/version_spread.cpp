#include "version_spread.h"

#include "backoff_delay.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

version_spread::version_spread(
    const version_spread_limits& limits,
    std::uint64_t seed,
    const clock& time_source,
    version_spread_actions& actions)
    : limits_(limits)
    , random_(seed)
    , clock_(time_source)
    , actions_(actions)
{
}

void version_spread::on_version_in_force(
    std::uint64_t version, std::uint64_t source_peer)
{
    if (version <= version_in_force_)
        return;
    version_in_force_ = version;
    highest_version_seen_ = std::max(highest_version_seen_, version);
    failures_ = 0;
    earliest_request_ = time_point::min();
    remove_outdated_sources();
    std::size_t push_count = 0;
    for (auto peer : actions_.sample(limits_.max_pushes + 1))
    {
        if (peer == source_peer || push_count == limits_.max_pushes)
            continue;
        actions_.push(peer, version);
        ++push_count;
    }
    send_request();
}

void version_spread::on_version_seen(std::uint64_t peer, std::uint64_t version)
{
    assert(peer != 0);
    highest_version_seen_ = std::max(highest_version_seen_, version);
    if (version <= version_in_force_ || was_refused(peer, version))
        return;
    if (sources_.size() >= limits_.max_sources && !sources_.contains(peer))
        return;
    sources_[peer] = version;
    send_request();
}

void version_spread::on_bundle_refused(
    std::uint64_t peer, std::uint64_t version)
{
    if (refused_versions_.size() >= limits_.max_sources)
        refused_versions_.clear();
    refused_versions_[peer] = version;
    on_request_failed(peer);
}

void version_spread::on_request_failed(std::uint64_t peer)
{
    sources_.erase(peer);
    if (requested_peer_ != peer)
        return;
    requested_peer_ = 0;
    ++failures_;
    earliest_request_ =
        clock_.now() +
        backoff_delay(
            limits_.initial_delay, limits_.max_delay, failures_, random_);
}

void version_spread::on_timer()
{
    if (requested_peer_ != 0 && request_deadline_ <= clock_.now())
        on_request_failed(requested_peer_);
    send_request();
}

time_point version_spread::next_wakeup() const
{
    if (requested_peer_ != 0)
        return request_deadline_;
    return sources_.empty() ? time_point::max() : earliest_request_;
}

void version_spread::send_request()
{
    auto now = clock_.now();
    if (requested_peer_ != 0 || sources_.empty() || now < earliest_request_)
        return;
    std::uint64_t highest_version = 0;
    for (const auto& [peer, version] : sources_)
        highest_version = std::max(highest_version, version);
    std::vector<std::uint64_t> candidates;
    for (const auto& [peer, version] : sources_)
        if (version == highest_version)
            candidates.push_back(peer);
    requested_peer_ = candidates[random_() % candidates.size()];
    request_deadline_ = now + limits_.timeout;
    actions_.request(requested_peer_, version_in_force_);
}

void version_spread::remove_outdated_sources()
{
    std::erase_if(
        sources_,
        [&](const auto& it) { return it.second <= version_in_force_; });
    // The requested version has arrived from another source, so a missing
    // answer is no failure.
    if (!sources_.contains(requested_peer_))
        requested_peer_ = 0;
}

bool version_spread::was_refused(
    std::uint64_t peer, std::uint64_t version) const
{
    auto it = refused_versions_.find(peer);
    return it != refused_versions_.end() && it->second == version;
}

} // namespace turmericlane
