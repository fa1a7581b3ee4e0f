#pragma once

#include <string>

namespace turmericlane
{

/** Names of the header fields that forwarding uses beyond those of plain HTTP.
    An adapter sets them for its platform. They are compared without regard to
    case. */
struct protocol_names
{
    /** Id of a request; searchers echo it. */
    std::string request_id;
    /** Time for which the sender of a request still waits, in milliseconds. */
    std::string time_left;
    /** Id of the searcher for which a request is meant. */
    std::string expected_searcher;
    /** A searcher's signature of its answer. */
    std::string signature;
    /** Present in a rejection of a request that has not run. */
    std::string not_run;
    /** A searcher's load in the form "running,waiting,slots", which further
        figures may follow. */
    std::string load;
    /** "1" in all answers of a searcher that is leaving. */
    std::string leaving;
    /** In an answer 503, time in seconds for which the searcher wants no
        requests from this instance. */
    std::string retry_after;
    /** Time in milliseconds for which the searcher is still cold. */
    std::string warm_up;
    /** Signatures of the answers that were merged into one. */
    std::string part_signatures;
    /** Number of shards that are missing from a merged answer. */
    std::string missing_parts;
};

} // namespace turmericlane
