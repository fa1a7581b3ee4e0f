#pragma once

#include "backend_server.h"

#include <random>
#include <span>
#include <vector>

namespace turmericlane
{

/** The replicas of one group: selects the server for each request and takes
    outliers out of use.

    Own measurements count first (requests in flight, smoothed latency), the
    reported load decides between servers that are about equal. Of two random
    candidates the better one is taken. At most a third of the group is ejected
    at a time; an ejected server gets single requests as probes, and so does one
    whose cost has kept all requests away for a time.

    @see backend_server, dispatch_engine
*/
class replica_set
{
public:
    /** What a request needs. */
    struct needs
    {
        rank work = rank::ordinary;
        std::uint64_t snapshot = 0;
        /** Servers that are not to be used again. */
        std::span<const searcher_id> tried;
    };

    /** How a selection ended. */
    enum class outcome
    {
        chosen,
        /** A suitable server exists, but none has room. */
        busy,
        /** No suitable server exists. */
        none
    };

    /** A selected server. */
    struct choice
    {
        outcome result = outcome::none;
        backend_server* server = nullptr;
        bool probe = false;
    };

    /** Replaces the servers; they must outlive the set. */
    void assign(std::vector<backend_server*> servers);

    /** Selects a server. */
    choice choose(const needs& wanted, time_point now, std::mt19937_64& random);

    /** A request to a server was answered, or was given up after that time. */
    void on_latency(backend_server& of, duration took, time_point now);

    /** A request to a server failed by its fault. */
    void on_failure(backend_server& of, time_point now);

    /** A probe ended.
        @param answered  in time and correctly */
    void
    on_probe(backend_server& of, bool answered, duration took, time_point now);

    /** A probe was cancelled after that time, because its answer was no longer
        needed. It counts against the server only if it had taken long. */
    void on_probe_cancelled(backend_server& of, duration took, time_point now);

    /** Snapshots that all servers in use serve, as far as is known. If they
        have none in common, the range of the server that replied last.
        @param replied  may be null */
    snapshot_range served(const backend_server* replied, time_point now) const;

    /** True if a server other than those tried is known to serve a snapshot. */
    bool serves_elsewhere(const needs& wanted, time_point now) const;

    /** The servers. */
    std::span<backend_server* const> servers() const
    {
        return servers_;
    }

private:
    bool may_eject(time_point now) const;
    duration best_latency(const backend_server& except, time_point now) const;
    choice choose_probe(const needs& wanted, time_point now);
    static time_point probe_due(const backend_server& of);
    backend_server& better_of_two(time_point now, std::mt19937_64& random);

    std::vector<backend_server*> servers_;
    /** Kept between calls to save allocations. */
    std::vector<backend_server*> open_;
};

} // namespace turmericlane
