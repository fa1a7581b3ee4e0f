#pragma once

#include "member.h"

#include <map>
#include <random>

namespace turmericlane
{

/** Output interface of a version_spread. Its methods are called from inside the
    methods of version_spread; an implementation must not call back into it.

    @see version_spread
*/
class version_spread_actions
{
public:
    virtual ~version_spread_actions() = default;

    /** Returns the nonces of up to count different live peers
        (membership_table::sample). */
    virtual std::vector<std::uint64_t> sample(std::size_t count) = 0;

    /** Sends the bundle in force to a peer (bundle_delta or bundle_full). */
    virtual void push(std::uint64_t peer, std::uint64_t version) = 0;

    /** Asks a peer for its bundle (bundle_request). The request ends with
        exactly one call of version_spread::on_version_in_force,
        on_bundle_refused or on_request_failed. If none comes, it fails at its
        timeout. */
    virtual void
    request(std::uint64_t peer, std::uint64_t version_in_force) = 0;
};

/** Settings of a version_spread: timeout, delays and bounds. */
struct version_spread_limits
{
    /** Peers to which a new version is pushed at once. */
    std::size_t max_pushes = 3;
    /** A request without answer counts as failed after this time. */
    duration timeout = std::chrono::seconds(1);
    /** Delay after the first failed request. It doubles with each failure in a
        row, up to max_delay, with jitter. */
    duration initial_delay = std::chrono::milliseconds(100);
    duration max_delay = std::chrono::seconds(10);
    /** Peers with a higher version that are remembered at most. */
    std::size_t max_sources = 8;
};

/** Spreads bundle versions between instances. It pushes a new version to a few
    peers and requests the bundle of a peer that shows a higher version, one
    request at a time.

    The class does no I/O; one thread calls it at a time. The store of versions
    decides which bundle is accepted, and this class is told the result.

    @see platform_reader
*/
class version_spread
{
public:
    /** @param limits       timeout, delays and bounds
        @param seed         seed of the jitter
        @param time_source  clock; must outlive this object
        @param actions      sends pushes and requests; must outlive this
                            object */
    version_spread(
        const version_spread_limits& limits,
        std::uint64_t seed,
        const clock& time_source,
        version_spread_actions& actions);

    /** A version came into force in this instance.
        @param version      the version; ignored unless it is higher than before
        @param source_peer  nonce of the peer that sent it; 0 for the
                            platform */
    void on_version_in_force(std::uint64_t version, std::uint64_t source_peer);

    /** A frame from a peer carried its version. */
    void on_version_seen(std::uint64_t peer, std::uint64_t version);

    /** The bundle of a peer was refused. The peer is not asked again until it
        shows another version. */
    void on_bundle_refused(std::uint64_t peer, std::uint64_t version);

    /** The peer that was asked cannot be reached or has no newer version. */
    void on_request_failed(std::uint64_t peer);

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** Returns when on_timer has to be called next; time_point::max() if it
        need not be called. */
    time_point next_wakeup() const;

    /** Returns the version that is in force; 0 if there is none. */
    std::uint64_t version_in_force() const noexcept
    {
        return version_in_force_;
    }

    /** Returns the highest version that this instance or a peer had. */
    std::uint64_t highest_version_seen() const noexcept
    {
        return highest_version_seen_;
    }

private:
    void send_request();
    void remove_outdated_sources();
    bool was_refused(std::uint64_t peer, std::uint64_t version) const;

    version_spread_limits limits_;
    std::mt19937_64 random_;
    const clock& clock_;
    version_spread_actions& actions_;
    std::uint64_t version_in_force_ = 0;
    std::uint64_t highest_version_seen_ = 0;
    /** Versions of peers that have a higher one, by nonce. */
    std::map<std::uint64_t, std::uint64_t> sources_;
    /** Versions of peers whose bundle was refused, by nonce. */
    std::map<std::uint64_t, std::uint64_t> refused_versions_;
    /** Nonce of the peer that was asked for its bundle; 0 if no request is in
        flight. */
    std::uint64_t requested_peer_ = 0;
    time_point request_deadline_ = time_point::max();
    time_point earliest_request_ = time_point::min();
    std::uint32_t failures_ = 0;
};

} // namespace turmericlane
