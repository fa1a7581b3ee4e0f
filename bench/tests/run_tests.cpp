#include "../report/report.h"
#include "../run/parallel_runs.h"

#include <doctest/doctest.h>

#include <sstream>

namespace turmericlane::bench
{
namespace
{

std::string print_run_lines(variant selected_variant, std::uint64_t seed)
{
    auto selected_scenario = find_scenario("steady", true).value();
    selected_scenario.length = std::chrono::milliseconds(1500);
    std::ostringstream output;
    print_json(
        output,
        bench_run(
            make_deployment("norte"), selected_scenario, selected_variant, seed)
            .run());
    return output.str();
}

} // namespace

// Guards against an order of events that depends on memory addresses or
// threads.
TEST_CASE("the same seed prints the same lines")
{
    for (auto selected_variant : {variant::naive, variant::turmericlane})
    {
        CHECK(
            print_run_lines(selected_variant, 5) ==
            print_run_lines(selected_variant, 5));
        CHECK(
            print_run_lines(selected_variant, 5) !=
            print_run_lines(selected_variant, 6));
    }
}

// Guards against violations that occur only when several failures coincide.
TEST_CASE("200 random combinations of failures violate no guarantee")
{
    std::vector<run_request> requests;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        requests.push_back(
            {seed % 2 == 0 ? "jamaica" : "norte", random_scenario(seed),
             variant::turmericlane, seed});
    auto check_result = [](const run_request& request, const run_result& result)
    {
        std::ostringstream detail;
        print_table(detail, result);
        INFO("seed " << request.seed << "\n" << detail.str());
        CHECK(result.total_violations == 0);
    };
    run_in_parallel(requests, check_result);
}

} // namespace turmericlane::bench
