#include "load_options.h"

#include <charconv>
#include <cstring>
#include <iostream>

#include <getopt.h>

namespace turmericlane::load
{

namespace
{

constexpr option long_options[] = {
    {"help", no_argument, nullptr, 'h'},
    {"instances", required_argument, nullptr, 'i'},
    {"bundle", required_argument, nullptr, 'b'},
    {"control", required_argument, nullptr, 'c'},
    {"rate", required_argument, nullptr, 'r'},
    {"booking-rate", required_argument, nullptr, 'k'},
    {"seconds", required_argument, nullptr, 'd'},
    {"seed", required_argument, nullptr, 's'},
    {"threads", required_argument, nullptr, 't'},
    {"callers", required_argument, nullptr, 'u'},
    {"mix", required_argument, nullptr, 'm'},
    {"settle-ms", required_argument, nullptr, 'w'},
    {"json", no_argument, nullptr, 'j'},
    {"json-file", required_argument, nullptr, 'f'},
    {nullptr, 0, nullptr, 0},
};

/** Splits a text at a separator; an empty text gives one empty item. */
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> items;
    for (;;)
    {
        auto end = text.find(separator);
        items.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return items;
        text.remove_prefix(end + 1);
    }
}

/** Parses a number within bounds. Returns false after an error message. */
template <class T>
bool read_number(
    const char* name,
    std::string_view text,
    T min_value,
    T max_value,
    T& output)
{
    const auto* end = text.data() + text.size();
    auto [parsed_end, ec] = std::from_chars(text.data(), end, output);
    if (ec == std::errc() && parsed_end == end && output >= min_value &&
        output <= max_value)
        return true;
    std::cerr << "--" << name << ' ' << text << ": must be " << min_value
              << " to " << max_value << '\n';
    return false;
}

bool read_instances(std::string_view text, std::vector<endpoint>& output)
{
    for (auto item : split(text, ','))
    {
        auto instance = parse_endpoint(item);
        if (!instance)
        {
            std::cerr << "--instances " << item
                      << ": must be address:port,...\n";
            return false;
        }
        output.push_back(*instance);
    }
    return true;
}

bool read_mix(std::string_view text, std::array<double, 3>& output)
{
    auto parts = split(text, ':');
    auto sum = 0.0;
    auto is_valid = parts.size() == output.size();
    for (std::size_t n = 0; is_valid && n < output.size(); ++n)
    {
        is_valid = read_number("mix", parts[n], 0.0, 1e6, output[n]);
        sum += output[n];
    }
    if (!is_valid || sum <= 0)
        std::cerr << "--mix " << text << ": must be urgent:ordinary:archive\n";
    return is_valid && sum > 0;
}

template <class Span>
bool read_span(const char* name, int max_value, Span& output)
{
    int number = 0;
    if (!read_number(name, optarg, 0, max_value, number))
        return false;
    output = Span(number);
    return true;
}

/** Applies one option. Returns false after an error message. */
bool apply_option(load_options& settings, int code, const char* name)
{
    constexpr std::size_t max_threads = 200;
    switch (code)
    {
    case 'h':
        settings.is_help_requested = true;
        return true;
    case 'j':
        settings.print_as_json = true;
        return true;
    case 'f':
        settings.json_path = optarg;
        return true;
    case 'b':
        settings.bundle_path = optarg;
        return true;
    case 'i':
        return read_instances(optarg, settings.instances);
    case 'm':
        return read_mix(optarg, settings.rank_mix);
    case 'c':
        settings.control = parse_endpoint(optarg);
        if (!settings.control)
            std::cerr << "--control " << optarg << ": must be address:port\n";
        return settings.control.has_value();
    case 'r':
        return read_number(name, optarg, 0.0, 1e5, settings.queries_per_second);
    case 'k':
        return read_number(
            name, optarg, 0.0, 1e4, settings.bookings_per_second);
    case 'd':
        return read_span(name, 86'400, settings.duration);
    case 'w':
        return read_span(name, 60'000, settings.settle_time);
    case 's':
        return read_number(
            name, optarg, std::uint64_t{0}, UINT64_MAX, settings.seed);
    case 't':
        return read_number(
            name, optarg, std::size_t{1}, max_threads, settings.thread_count);
    case 'u':
        return read_number(
            name, optarg, std::size_t{1}, std::size_t{1000},
            settings.caller_count);
    default:
        return false;
    }
}

} // namespace

const char* load_usage() noexcept
{
    return "usage: turmericlane_load --instances HOST:PORT,... --bundle FILE\n"
           "  --control HOST:PORT  control port of the backend stand-ins; "
           "without\n"
           "                       it, replies are not compared with what ran\n"
           "  --rate N             queries per second (100)\n"
           "  --booking-rate N     bookings per second (0)\n"
           "  --seconds N          duration of the run (10)\n"
           "  --mix U:O:A          relative rates of the three ranks (2:5:3)\n"
           "  --seed N             random seed (1)\n"
           "  --threads N          maximum number of concurrent requests (48)\n"
           "  --callers N          callers, each with its instance list (8)\n"
           "  --settle-ms N        delay before the verification (1000)\n"
           "  --json               print JSON instead of tables\n"
           "  --json-file FILE     also write JSON to a file\n"
           "Exit code: 0: there were answers and no violations; 1: otherwise;\n"
           "2: invalid option or bundle; 3: the control port did not answer.\n";
}

std::optional<load_options> parse_load_options(int argc, char** argv)
{
    load_options settings;
    int code = 0;
    int index = 0;
    while ((code = getopt_long(argc, argv, "h", long_options, &index)) != -1)
        if (code == '?' ||
            !apply_option(settings, code, long_options[index].name))
            return std::nullopt;
    auto is_complete =
        !settings.instances.empty() && !settings.bundle_path.empty();
    if (settings.is_help_requested || (is_complete && optind == argc))
        return settings;
    std::cerr << load_usage();
    return std::nullopt;
}

} // namespace turmericlane::load
