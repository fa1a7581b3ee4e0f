#pragma once

#include <string>

namespace turmericlane
{

/** Names of the header fields that carry what a forwarded request needs beside
    plain HTTP. An adapter sets them for its platform; letter case does not
    matter. */
struct protocol_names
{
    /** Id of a request; searchers echo it. */
    std::string request_id;
    /** Milliseconds that the sender of a request still waits. */
    std::string time_left;
    /** Id of the searcher for which a request is meant. */
    std::string expected_searcher;
    /** A searcher's signature of its answer. */
    std::string signature;
    /** Present in a refusal of a request that has not run. */
    std::string not_run;
    /** A searcher's load: running, waiting, slots. */
    std::string load;
    /** Signatures of the parts of a merged answer. */
    std::string part_signatures;
    /** Number of shards that a merged answer leaves out. */
    std::string missing_parts;
};

} // namespace turmericlane
