#include "report/report.h"
#include "run/parallel_runs.h"

#include <getopt.h>

#include <charconv>
#include <iostream>

namespace turmericlane::bench
{
namespace
{

struct options
{
    bool print_as_json = false;
    bool is_quick = false;
    std::uint64_t seed = 1;
    std::string scenario_name;
    std::string deployment_name;
    std::uint64_t soak_runs = 0;
};

constexpr const char* usage =
    "usage: turmericlane_bench [--json] [--quick] [--seed N] [--scenario NAME]"
    " [--deployment jamaica|norte] [--soak N]\n";

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool set_number(std::string_view text, std::uint64_t& target)
{
    auto number = parse_number(text);
    if (number)
        target = *number;
    return number.has_value();
}

bool set_option(int option, options& settings)
{
    switch (option)
    {
    case 'j':
        settings.print_as_json = true;
        return true;
    case 'q':
        settings.is_quick = true;
        return true;
    case 's':
        return set_number(optarg, settings.seed);
    case 'c':
        settings.scenario_name = optarg;
        return find_scenario(settings.scenario_name, true).has_value();
    case 'd':
        settings.deployment_name = optarg;
        return settings.deployment_name == "jamaica" ||
               settings.deployment_name == "norte";
    case 'k':
        return set_number(optarg, settings.soak_runs);
    default:
        return false;
    }
}

std::optional<options> parse_options(int argc, char** argv)
{
    const std::array<option, 7> known_options = {
        {{"json", no_argument, nullptr, 'j'},
         {"quick", no_argument, nullptr, 'q'},
         {"seed", required_argument, nullptr, 's'},
         {"scenario", required_argument, nullptr, 'c'},
         {"deployment", required_argument, nullptr, 'd'},
         {"soak", required_argument, nullptr, 'k'},
         {nullptr, 0, nullptr, 0}}};
    options settings;
    int code = 0;
    while ((code = getopt_long(
                argc, argv, "", known_options.data(), nullptr)) != -1)
        if (!set_option(code, settings))
            return std::nullopt;
    if (optind != argc)
        return std::nullopt;
    return settings;
}

std::vector<std::string> deployment_names(const options& settings)
{
    if (!settings.deployment_name.empty())
        return {settings.deployment_name};
    return {"jamaica", "norte"};
}

std::vector<run_request> make_requests(const options& settings)
{
    std::vector<run_request> requests;
    for (const auto& deployment_name : deployment_names(settings))
        for (const auto& name : scenario_names())
        {
            if (!settings.scenario_name.empty() &&
                settings.scenario_name != name)
                continue;
            auto selected_scenario = find_scenario(name, settings.is_quick);
            for (auto selected_variant :
                 {variant::naive, variant::turmericlane})
                requests.push_back(
                    {deployment_name, selected_scenario.value_or(scenario{}),
                     selected_variant, settings.seed});
        }
    return requests;
}

int run_scenarios(const options& settings)
{
    if (!settings.print_as_json)
        print_table_header(std::cout);
    auto print_result = [&](const run_request&, const run_result& result)
    {
        if (settings.print_as_json)
            print_json(std::cout, result);
        else
            print_table(std::cout, result);
        std::cout.flush();
    };
    run_in_parallel(make_requests(settings), print_result);
    return 0;
}

int run_soak(const options& settings)
{
    std::vector<run_request> requests;
    for (auto seed = settings.seed; seed < settings.seed + settings.soak_runs;
         ++seed)
        for (const auto& deployment_name : deployment_names(settings))
            requests.push_back(
                {deployment_name, random_scenario(seed), variant::turmericlane,
                 seed});
    std::uint64_t failed_runs = 0;
    auto print_result =
        [&](const run_request& request, const run_result& result)
    {
        if (result.total_violations == 0)
            return;
        ++failed_runs;
        std::cout << "failing seed " << request.seed << '\n';
        print_table(std::cout, result);
        std::cout.flush();
    };
    run_in_parallel(requests, print_result);
    std::cout << requests.size() << " runs, " << failed_runs << " failed\n";
    return failed_runs == 0 ? 0 : 1;
}

} // namespace
} // namespace turmericlane::bench

int main(int argc, char** argv)
{
    using namespace turmericlane::bench;
    auto settings = parse_options(argc, argv);
    if (!settings)
    {
        std::cerr << usage;
        return 2;
    }
    return settings->soak_runs > 0 ? run_soak(*settings)
                                   : run_scenarios(*settings);
}
