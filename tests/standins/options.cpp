#include "options.h"

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <iostream>

#include <getopt.h>

namespace turmericlane::standins
{

namespace
{

/** Reads a whole number from 0 to a bound; reports an error. */
bool read_number(
    const char* name, const char* text, std::uint64_t most, std::uint64_t& out)
{
    const auto* end = text + std::strlen(text);
    auto [stop, ec] = std::from_chars(text, end, out);
    if (ec == std::errc() && stop == end && out <= most)
        return true;
    std::cerr << "--" << name << ' ' << text << ": takes 0 to " << most << '\n';
    return false;
}

constexpr option long_options[] = {
    {"help", no_argument, nullptr, 'h'},
    {"bundle", required_argument, nullptr, 'b'},
    {"port", required_argument, nullptr, 'p'},
    {"control-port", required_argument, nullptr, 'c'},
    {"service-time-us", required_argument, nullptr, 't'},
    {"sigma", required_argument, nullptr, 's'},
    {"seed", required_argument, nullptr, 'r'},
    {"zero-work", no_argument, nullptr, 'z'},
    {"reads-per-second", required_argument, nullptr, 'n'},
    {"lag-ms", required_argument, nullptr, 'l'},
    {nullptr, 0, nullptr, 0},
};

/** Applies one option. Returns false after a line on standard error. */
bool apply(options& made, int code, const char* name)
{
    constexpr std::uint64_t most_span = 60'000'000;
    std::uint64_t number = 0;
    switch (code)
    {
    case 'b':
        made.bundle_path = optarg;
        return true;
    case 'z':
        made.zero_work = true;
        return true;
    case 's':
        made.sigma = std::atof(optarg);
        if (made.sigma >= 0 && made.sigma <= 3)
            return true;
        std::cerr << "--sigma " << optarg << ": takes 0 to 3\n";
        return false;
    default:
        break;
    }
    auto most = code == 'p' || code == 'c' ? UINT16_MAX
                : code == 'r'              ? UINT64_MAX
                                           : most_span;
    if (!read_number(name, optarg, most, number))
        return false;
    if (code == 'p')
        made.port = static_cast<std::uint16_t>(number);
    else if (code == 'c')
        made.control_port = static_cast<std::uint16_t>(number);
    else if (code == 't')
        made.service_time = std::chrono::microseconds(number);
    else if (code == 'r')
        made.seed = number;
    else if (code == 'n')
        made.reads_per_second = number;
    else
        made.lag = std::chrono::milliseconds(number);
    return true;
}

} // namespace

const char* usage() noexcept
{
    return "usage: turmericlane_standins COMMAND OPTIONS\n"
           "  backends --bundle FILE --control-port P [--service-time-us N]\n"
           "           [--sigma S] [--seed N] [--zero-work]\n"
           "  config   --port P [--reads-per-second N]\n"
           "  list     --port P [--lag-ms N]\n"
           "All ports are on 127.0.0.1, those of backend servers on the\n"
           "addresses of the bundle. Ends on SIGTERM or SIGINT.\n";
}

std::optional<options> parse_options(int argc, char** argv)
{
    options made;
    int code = 0;
    int index = 0;
    while ((code = getopt_long(argc, argv, "h", long_options, &index)) != -1)
    {
        if (code == 'h')
        {
            made.command = "help";
            return made;
        }
        if (code == '?' || !apply(made, code, long_options[index].name))
            return std::nullopt;
    }
    if (optind + 1 == argc)
        made.command = argv[optind];
    auto backends = made.command == "backends" && made.control_port != 0 &&
                    !made.bundle_path.empty();
    auto service =
        (made.command == "config" || made.command == "list") && made.port != 0;
    if (backends || service)
        return made;
    std::cerr << usage();
    return std::nullopt;
}

} // namespace turmericlane::standins
