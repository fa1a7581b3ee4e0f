#pragma once

#include "endpoint.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericlane::load
{

/** Command line options of the load tool.

    @see parse_load_options
*/
struct load_options
{
    bool is_help_requested = false;
    /** Instances from which callers request the list of instances. */
    std::vector<endpoint> instances;
    std::string bundle_path;
    /** Control port of the backend stand-ins, which states what ran. */
    std::optional<endpoint> control;
    double queries_per_second = 100;
    double bookings_per_second = 0;
    std::chrono::seconds duration{10};
    std::uint64_t seed = 1;
    std::size_t thread_count = 48;
    /** Number of callers, each with its own cached instance list. */
    std::size_t caller_count = 8;
    /** Relative rates of urgent, ordinary and archive queries. */
    std::array<double, 3> rank_mix{2, 5, 3};
    /** Time between the last answer and the verification, in which requests
        that are still in progress would run. */
    std::chrono::milliseconds settle_time{1000};
    bool print_as_json = false;
    /** Path of the file for the JSON report; empty for none. */
    std::string json_path;
};

/** Returns the text of --help. */
const char* load_usage() noexcept;

/** Parses the command line.
    @returns the options, or nothing after an error message on standard error */
std::optional<load_options> parse_load_options(int argc, char** argv);

} // namespace turmericlane::load
