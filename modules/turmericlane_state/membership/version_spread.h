#pragma once

#include "member.h"

#include <map>
#include <random>

namespace turmericlane
{

/** What a version_spread asks of its surroundings. Calls come from inside its
    own methods; the implementation must not call back into it.

    @see version_spread
*/
class version_spread_actions
{
public:
    virtual ~version_spread_actions() = default;

    /** Up to count different live peers, by nonce
        (membership_table::sample). */
    virtual std::vector<std::uint64_t> sample(std::size_t count) = 0;

    /** Sends the bundle in force to a peer (bundle_delta or bundle_full). */
    virtual void push(std::uint64_t peer, std::uint64_t version) = 0;

    /** Asks a peer for its bundle (bundle_request). Ends with exactly one of
        version_spread::on_in_force, on_refused and on_request_failed, or with
        silence, which is a failure after a time-out. */
    virtual void
    request(std::uint64_t peer, std::uint64_t version_in_force) = 0;
};

/** Periods and bounds of a version_spread. */
struct version_spread_limits
{
    /** Peers that are told about a new version at once. */
    std::size_t pushes = 3;
    /** A request without answer counts as failed after this time. */
    duration timeout = std::chrono::seconds(1);
    /** First delay after a failed request; doubles with each failure in a row,
        with jitter. */
    duration first_delay = std::chrono::milliseconds(100);
    duration longest_delay = std::chrono::seconds(10);
    /** Peers remembered to have a higher version. */
    std::size_t sources = 8;
};

/** Spreads bundle versions between instances: pushes a new version to a few
    peers and pulls from a peer that shows a higher one, one request at a time.

    Decision code: one thread calls it at a time. The store of versions decides
    what is accepted; this class only learns the result.

    @see platform_reader
*/
class version_spread
{
public:
    /** @param limits   periods and bounds
        @param seed     seed of the jitter
        @param time     clock; must outlive this object
        @param actions  receives the actions; must outlive this object */
    version_spread(
        const version_spread_limits& limits,
        std::uint64_t seed,
        const clock& time,
        version_spread_actions& actions);

    /** A higher version came into force here, from wherever.
        @param from  nonce of the peer that sent it, 0 for the platform */
    void on_in_force(std::uint64_t version, std::uint64_t from);

    /** A frame of a peer carried its version. */
    void on_version_seen(std::uint64_t peer, std::uint64_t version);

    /** A bundle of a peer was refused. The peer is not asked again before it
        shows another version. */
    void on_refused(std::uint64_t peer, std::uint64_t version);

    /** The peer that was asked is not reachable or has nothing newer. */
    void on_request_failed(std::uint64_t peer);

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Version in force as last told; 0 for none. */
    std::uint64_t in_force() const noexcept
    {
        return in_force_;
    }

    /** Highest version that any peer showed, this instance included. */
    std::uint64_t highest_seen() const noexcept
    {
        return highest_seen_;
    }

private:
    void ask();
    void drop_outdated_sources();
    bool was_refused(std::uint64_t peer, std::uint64_t version) const;

    version_spread_limits limits_;
    std::mt19937_64 random_;
    const clock& clock_;
    version_spread_actions& actions_;
    std::uint64_t in_force_ = 0;
    std::uint64_t highest_seen_ = 0;
    /** Peers with a higher version, and that version. */
    std::map<std::uint64_t, std::uint64_t> sources_;
    /** Peers whose bundle was refused, and its version. */
    std::map<std::uint64_t, std::uint64_t> refused_;
    /** Peer that was asked; 0 for none. */
    std::uint64_t asked_ = 0;
    time_point asked_until_ = time_point::max();
    time_point not_before_ = time_point::min();
    std::uint32_t failures_ = 0;
};

} // namespace turmericlane
