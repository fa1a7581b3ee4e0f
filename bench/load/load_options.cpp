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

/** Splits at a separator; an empty text gives one empty part. */
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;)
    {
        auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

/** Reads a number within bounds; reports an error. */
template <class T>
bool read_number(
    const char* name, std::string_view text, T least, T most, T& out)
{
    const auto* end = text.data() + text.size();
    auto [stop, ec] = std::from_chars(text.data(), end, out);
    if (ec == std::errc() && stop == end && out >= least && out <= most)
        return true;
    std::cerr << "--" << name << ' ' << text << ": takes " << least << " to "
              << most << '\n';
    return false;
}

bool read_instances(std::string_view text, std::vector<endpoint>& out)
{
    for (auto it : split(text, ','))
    {
        auto parsed = parse_endpoint(it);
        if (!parsed)
        {
            std::cerr << "--instances " << it << ": takes address:port,...\n";
            return false;
        }
        out.push_back(*parsed);
    }
    return true;
}

bool read_mix(std::string_view text, std::array<double, 3>& out)
{
    auto parts = split(text, ':');
    auto sum = 0.0;
    auto good = parts.size() == out.size();
    for (std::size_t n = 0; good && n < out.size(); ++n)
    {
        good = read_number("mix", parts[n], 0.0, 1e6, out[n]);
        sum += out[n];
    }
    if (!good || sum <= 0)
        std::cerr << "--mix " << text << ": takes urgent:ordinary:archive\n";
    return good && sum > 0;
}

template <class Span>
bool read_span(const char* name, int most, Span& out)
{
    int number = 0;
    if (!read_number(name, optarg, 0, most, number))
        return false;
    out = Span(number);
    return true;
}

/** Applies one option. Returns false after a line on standard error. */
bool apply(load_options& made, int code, const char* name)
{
    constexpr std::size_t most_threads = 200;
    switch (code)
    {
    case 'h':
        made.help = true;
        return true;
    case 'j':
        made.json = true;
        return true;
    case 'f':
        made.json_path = optarg;
        return true;
    case 'b':
        made.bundle_path = optarg;
        return true;
    case 'i':
        return read_instances(optarg, made.instances);
    case 'm':
        return read_mix(optarg, made.mix);
    case 'c':
        made.control = parse_endpoint(optarg);
        if (!made.control)
            std::cerr << "--control " << optarg << ": takes address:port\n";
        return made.control.has_value();
    case 'r':
        return read_number(name, optarg, 0.0, 1e5, made.queries_per_second);
    case 'k':
        return read_number(name, optarg, 0.0, 1e4, made.bookings_per_second);
    case 'd':
        return read_span(name, 86'400, made.duration);
    case 'w':
        return read_span(name, 60'000, made.settle);
    case 's':
        return read_number(
            name, optarg, std::uint64_t{0}, UINT64_MAX, made.seed);
    case 't':
        return read_number(
            name, optarg, std::size_t{1}, most_threads, made.threads);
    case 'u':
        return read_number(
            name, optarg, std::size_t{1}, std::size_t{1000}, made.callers);
    default:
        return false;
    }
}

} // namespace

const char* load_usage() noexcept
{
    return "usage: turmericlane_load --instances HOST:PORT,... --bundle FILE\n"
           "  --control HOST:PORT  control port of the backend stand-ins: the\n"
           "                       judge of what ran (else it isn't judged)\n"
           "  --rate N             queries a second (100)\n"
           "  --booking-rate N     bookings a second (0)\n"
           "  --seconds N          duration of the stream (10)\n"
           "  --mix U:O:A          parts of the three ranks (2:5:3)\n"
           "  --seed N             seed of the stream (1)\n"
           "  --threads N          requests under way at most (48)\n"
           "  --callers N          callers with a list each (8)\n"
           "  --settle-ms N        wait before judging (1000)\n"
           "  --json               JSON in place of tables\n"
           "  --json-file FILE     JSON into a file besides the tables\n"
           "Exit code 0: answers came and there was no violation; 1: not so;\n"
           "2: a wrong setting; 3: the judge could not be asked.\n";
}

std::optional<load_options> parse_load_options(int argc, char** argv)
{
    load_options made;
    int code = 0;
    int index = 0;
    while ((code = getopt_long(argc, argv, "h", long_options, &index)) != -1)
        if (code == '?' || !apply(made, code, long_options[index].name))
            return std::nullopt;
    auto complete = !made.instances.empty() && !made.bundle_path.empty();
    if (made.help || (complete && optind == argc))
        return made;
    std::cerr << load_usage();
    return std::nullopt;
}

} // namespace turmericlane::load
