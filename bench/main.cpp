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
    bool json = false;
    bool quick = false;
    std::uint64_t seed = 1;
    std::string scenario_name;
    std::string deployment_name;
    std::uint64_t soak = 0;
};

constexpr const char* usage =
    "usage: turmericlane_bench [--json] [--quick] [--seed N] [--scenario NAME]"
    " [--deployment jamaica|norte] [--soak N]\n";

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t made = 0;
    auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), made);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return made;
}

bool set_number(std::string_view text, std::uint64_t& to)
{
    auto parsed = parse_number(text);
    if (parsed)
        to = *parsed;
    return parsed.has_value();
}

bool set_option(int option, options& made)
{
    switch (option)
    {
    case 'j':
        made.json = true;
        return true;
    case 'q':
        made.quick = true;
        return true;
    case 's':
        return set_number(optarg, made.seed);
    case 'c':
        made.scenario_name = optarg;
        return find_scenario(made.scenario_name, true).has_value();
    case 'd':
        made.deployment_name = optarg;
        return made.deployment_name == "jamaica" ||
               made.deployment_name == "norte";
    case 'k':
        return set_number(optarg, made.soak);
    default:
        return false;
    }
}

std::optional<options> parse(int argc, char** argv)
{
    const std::array<option, 7> known = {
        {{"json", no_argument, nullptr, 'j'},
         {"quick", no_argument, nullptr, 'q'},
         {"seed", required_argument, nullptr, 's'},
         {"scenario", required_argument, nullptr, 'c'},
         {"deployment", required_argument, nullptr, 'd'},
         {"soak", required_argument, nullptr, 'k'},
         {nullptr, 0, nullptr, 0}}};
    options made;
    int it = 0;
    while ((it = getopt_long(argc, argv, "", known.data(), nullptr)) != -1)
        if (!set_option(it, made))
            return std::nullopt;
    if (optind != argc)
        return std::nullopt;
    return made;
}

std::vector<std::string> deployments(const options& chosen)
{
    if (!chosen.deployment_name.empty())
        return {chosen.deployment_name};
    return {"jamaica", "norte"};
}

std::vector<run_request> make_requests(const options& chosen)
{
    std::vector<run_request> made;
    for (const auto& where : deployments(chosen))
        for (const auto& name : scenario_names())
        {
            if (!chosen.scenario_name.empty() && chosen.scenario_name != name)
                continue;
            auto what = find_scenario(name, chosen.quick);
            for (auto which : {variant::naive, variant::turmericlane})
                made.push_back(
                    {where, what.value_or(scenario{}), which, chosen.seed});
        }
    return made;
}

int run_scenarios(const options& chosen)
{
    if (!chosen.json)
        print_table_head(std::cout);
    auto print = [&](const run_request&, const run_result& result)
    {
        if (chosen.json)
            print_json(std::cout, result);
        else
            print_table(std::cout, result);
        std::cout.flush();
    };
    run_all(make_requests(chosen), print);
    return 0;
}

int run_soak(const options& chosen)
{
    std::vector<run_request> requests;
    for (auto it = chosen.seed; it < chosen.seed + chosen.soak; ++it)
        for (const auto& where : deployments(chosen))
            requests.push_back(
                {where, random_scenario(it), variant::turmericlane, it});
    std::uint64_t failed = 0;
    auto print = [&](const run_request& request, const run_result& result)
    {
        if (result.total_violations == 0)
            return;
        ++failed;
        std::cout << "failing seed " << request.seed << '\n';
        print_table(std::cout, result);
        std::cout.flush();
    };
    run_all(requests, print);
    std::cout << requests.size() << " runs, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}

} // namespace
} // namespace turmericlane::bench

int main(int argc, char** argv)
{
    using namespace turmericlane::bench;
    auto chosen = parse(argc, argv);
    if (!chosen)
    {
        std::cerr << usage;
        return 2;
    }
    return chosen->soak > 0 ? run_soak(*chosen) : run_scenarios(*chosen);
}
