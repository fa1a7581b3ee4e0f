#pragma once

#include "backend_server.h"

#include <random>
#include <span>
#include <vector>

namespace turmericlane
{

/** The replicas of one group: selects the server for each attempt and ejects
    outliers.

    Selection takes the better one of two random candidates. It compares the
    owner's own measurements (attempts in flight, smoothed latency) and uses the
    reported load only between servers with similar measurements. At most a
    third of the servers is ejected at a time. An ejected server gets single
    attempts as probes. A server that got no attempt for a time because of its
    cost gets one as well, so that its measurements can change.

    @see backend_server, dispatch_engine
*/
class replica_set
{
public:
    /** What an attempt requires of its server. */
    struct selection_criteria
    {
        rank request_rank = rank::ordinary;
        std::uint64_t snapshot = 0;
        /** Servers that must not be used again. */
        std::span<const searcher_id> tried_servers;
    };

    /** How a selection ended. */
    enum class outcome
    {
        chosen,
        /** A suitable server exists, but none takes another attempt now. */
        busy,
        /** No suitable server exists. */
        none
    };

    /** A selected server; null unless the result is outcome::chosen. */
    struct choice
    {
        outcome result = outcome::none;
        backend_server* server = nullptr;
        bool is_probe = false;
    };

    /** Replaces the servers; they must outlive the set. */
    void assign(std::vector<backend_server*> servers);

    /** Selects a server. */
    choice choose(
        const selection_criteria& criteria,
        time_point now,
        std::mt19937_64& random);

    /** Records that an attempt was answered, or given up, after a time. */
    void on_latency(backend_server& server, duration latency, time_point now);

    /** Records that an attempt failed through the server's fault. */
    void on_failure(backend_server& server, time_point now);

    /** Records the end of a probe.
        @param was_answered  the probe got a valid answer in time */
    void on_probe(
        backend_server& server,
        bool was_answered,
        duration latency,
        time_point now);

    /** Records that a probe was cancelled because its answer was no longer
        needed. It counts against the server only if it took long.
        @param latency  time from the start of the probe to its cancellation */
    void on_probe_cancelled(
        backend_server& server, duration latency, time_point now);

    /** Returns the snapshots that all servers in use are known to serve. If
        they have none in common, the range of the server that replied last.
        @param last_replier  server that replied last; may be null */
    snapshot_range
    common_snapshots(const backend_server* last_replier, time_point now) const;

    /** True if a server that was not tried yet is known to serve the
        snapshot. */
    bool other_server_has_snapshot(
        const selection_criteria& criteria, time_point now) const;

    /** Returns all servers, ejected and leaving ones included. */
    std::span<backend_server* const> servers() const
    {
        return servers_;
    }

private:
    bool may_eject(time_point now) const;
    duration
    best_latency(const backend_server& excluded_server, time_point now) const;
    choice choose_probe(const selection_criteria& criteria, time_point now);
    static time_point probe_time(const backend_server& server);
    backend_server& choose_candidate(time_point now, std::mt19937_64& random);

    std::vector<backend_server*> servers_;
    /** A member rather than a local to avoid allocations. */
    std::vector<backend_server*> candidates_;
};

} // namespace turmericlane
