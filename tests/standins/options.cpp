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

/** Reads a whole number from 0 to a maximum.
    @returns false after a line on standard error if the text is none */
bool read_number(
    const char* name,
    const char* text,
    std::uint64_t max_value,
    std::uint64_t& value)
{
    const auto* end = text + std::strlen(text);
    auto [number_end, ec] = std::from_chars(text, end, value);
    if (ec == std::errc() && number_end == end && value <= max_value)
        return true;
    std::cerr << "--" << name << ' ' << text << ": must be from 0 to "
              << max_value << '\n';
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

/** Sets one option.
    @returns false after a line on standard error if its value is invalid */
bool apply_option(options& settings, int code, const char* name)
{
    constexpr std::uint64_t default_max_value = 60'000'000;
    std::uint64_t number = 0;
    switch (code)
    {
    case 'b':
        settings.bundle_path = optarg;
        return true;
    case 'z':
        settings.zero_work = true;
        return true;
    case 's':
        settings.sigma = std::atof(optarg);
        if (settings.sigma >= 0 && settings.sigma <= 3)
            return true;
        std::cerr << "--sigma " << optarg << ": must be from 0 to 3\n";
        return false;
    default:
        break;
    }
    auto max_value = code == 'p' || code == 'c' ? UINT16_MAX
                     : code == 'r'              ? UINT64_MAX
                                                : default_max_value;
    if (!read_number(name, optarg, max_value, number))
        return false;
    if (code == 'p')
        settings.port = static_cast<std::uint16_t>(number);
    else if (code == 'c')
        settings.control_port = static_cast<std::uint16_t>(number);
    else if (code == 't')
        settings.service_time = std::chrono::microseconds(number);
    else if (code == 'r')
        settings.seed = number;
    else if (code == 'n')
        settings.reads_per_second = number;
    else
        settings.lag = std::chrono::milliseconds(number);
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
           "All ports are on 127.0.0.1, except that those of backend servers "
           "are\n"
           "on the addresses in the bundle. Ends on SIGTERM or SIGINT.\n";
}

std::optional<options> parse_options(int argc, char** argv)
{
    options settings;
    int code = 0;
    int option_index = 0;
    while ((code = getopt_long(argc, argv, "h", long_options, &option_index)) !=
           -1)
    {
        if (code == 'h')
        {
            settings.command = "help";
            return settings;
        }
        if (code == '?' ||
            !apply_option(settings, code, long_options[option_index].name))
            return std::nullopt;
    }
    if (optind + 1 == argc)
        settings.command = argv[optind];
    auto has_backends_options = settings.command == "backends" &&
                                settings.control_port != 0 &&
                                !settings.bundle_path.empty();
    auto has_service_options =
        (settings.command == "config" || settings.command == "list") &&
        settings.port != 0;
    if (has_backends_options || has_service_options)
        return settings;
    std::cerr << usage();
    return std::nullopt;
}

} // namespace turmericlane::standins
