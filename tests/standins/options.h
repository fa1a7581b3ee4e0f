#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace turmericlane::standins
{

/** Settings of the program, from its command line.

    @see parse_options
*/
struct options
{
    /** One of backends, config, list and help. */
    std::string command;
    std::string bundle_path;
    std::uint16_t port = 0;
    std::uint16_t control_port = 0;
    std::chrono::microseconds service_time{2000};
    double sigma = 0.5;
    std::uint64_t seed = 1;
    bool zero_work = false;
    std::uint64_t reads_per_second = 2000;
    std::chrono::milliseconds lag{0};
};

/** Returns the text of --help. */
const char* usage() noexcept;

/** Parses the command line.
    @returns the settings, or nothing after a line on standard error */
std::optional<options> parse_options(int argc, char** argv);

} // namespace turmericlane::standins
