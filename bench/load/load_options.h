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

/** Settings of the load tool from its command line.

    @see parse_load_options
*/
struct load_options
{
    bool help = false;
    /** Instances that are asked first which instances to use. */
    std::vector<endpoint> instances;
    std::string bundle_path;
    /** Control port of the backend stand-ins, the judge of what ran. */
    std::optional<endpoint> control;
    double queries_per_second = 100;
    double bookings_per_second = 0;
    std::chrono::seconds duration{10};
    std::uint64_t seed = 1;
    std::size_t threads = 48;
    /** Callers, each with its own cached answer of which instances to use. */
    std::size_t callers = 8;
    /** Parts of urgent, ordinary and archive queries in the mix. */
    std::array<double, 3> mix{2, 5, 3};
    /** Time between the last answer and the judgement, in which work that is
        still under way would run. */
    std::chrono::milliseconds settle{1000};
    bool json = false;
    /** File that gets the JSON report; none if empty. */
    std::string json_path;
};

/** Text of --help. */
const char* load_usage() noexcept;

/** Reads the command line.
    @returns the settings, or nothing after a line on standard error */
std::optional<load_options> parse_load_options(int argc, char** argv);

} // namespace turmericlane::load
