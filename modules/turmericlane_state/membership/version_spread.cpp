#include "version_spread.h"

#include "back_off.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

version_spread::version_spread(
    const version_spread_limits& limits,
    std::uint64_t seed,
    const clock& time,
    version_spread_actions& actions)
    : limits_(limits)
    , random_(seed)
    , clock_(time)
    , actions_(actions)
{
}

void version_spread::on_in_force(std::uint64_t version, std::uint64_t from)
{
    if (version <= in_force_)
        return;
    in_force_ = version;
    highest_seen_ = std::max(highest_seen_, version);
    failures_ = 0;
    not_before_ = time_point::min();
    drop_outdated_sources();
    std::size_t pushed = 0;
    for (auto peer : actions_.sample(limits_.pushes + 1))
    {
        if (peer == from || pushed == limits_.pushes)
            continue;
        actions_.push(peer, version);
        ++pushed;
    }
    ask();
}

void version_spread::on_version_seen(std::uint64_t peer, std::uint64_t version)
{
    assert(peer != 0);
    highest_seen_ = std::max(highest_seen_, version);
    if (version <= in_force_ || was_refused(peer, version))
        return;
    if (sources_.size() >= limits_.sources && !sources_.contains(peer))
        return;
    sources_[peer] = version;
    ask();
}

void version_spread::on_refused(std::uint64_t peer, std::uint64_t version)
{
    if (refused_.size() >= limits_.sources)
        refused_.clear();
    refused_[peer] = version;
    on_request_failed(peer);
}

void version_spread::on_request_failed(std::uint64_t peer)
{
    sources_.erase(peer);
    if (asked_ != peer)
        return;
    asked_ = 0;
    ++failures_;
    not_before_ = clock_.now() + back_off(
                                     limits_.first_delay, limits_.longest_delay,
                                     failures_, random_);
}

void version_spread::on_timer()
{
    if (asked_ != 0 && asked_until_ <= clock_.now())
        on_request_failed(asked_);
    ask();
}

time_point version_spread::next_wakeup() const
{
    if (asked_ != 0)
        return asked_until_;
    return sources_.empty() ? time_point::max() : not_before_;
}

void version_spread::ask()
{
    auto now = clock_.now();
    if (asked_ != 0 || sources_.empty() || now < not_before_)
        return;
    std::uint64_t highest = 0;
    for (const auto& [peer, version] : sources_)
        highest = std::max(highest, version);
    std::vector<std::uint64_t> best;
    for (const auto& [peer, version] : sources_)
        if (version == highest)
            best.push_back(peer);
    asked_ = best[random_() % best.size()];
    asked_until_ = now + limits_.timeout;
    actions_.request(asked_, in_force_);
}

void version_spread::drop_outdated_sources()
{
    std::erase_if(
        sources_, [&](const auto& it) { return it.second <= in_force_; });
    // What was asked for has come from elsewhere; silence is no failure then.
    if (!sources_.contains(asked_))
        asked_ = 0;
}

bool version_spread::was_refused(
    std::uint64_t peer, std::uint64_t version) const
{
    auto it = refused_.find(peer);
    return it != refused_.end() && it->second == version;
}

} // namespace turmericlane
