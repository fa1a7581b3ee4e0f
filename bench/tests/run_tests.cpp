#include "../report/report.h"
#include "../run/parallel_runs.h"

#include <doctest/doctest.h>

#include <sstream>

namespace turmericlane::bench
{
namespace
{

std::string lines_of(variant which, std::uint64_t seed)
{
    auto what = find_scenario("steady", true).value();
    what.length = std::chrono::milliseconds(1500);
    std::ostringstream made;
    print_json(
        made, bench_run(make_deployment("norte"), what, which, seed).run());
    return made.str();
}

} // namespace

// Guards against an order of events that depends on addresses or threads.
TEST_CASE("the same seed prints the same lines")
{
    for (auto which : {variant::naive, variant::turmericlane})
    {
        CHECK(lines_of(which, 5) == lines_of(which, 5));
        CHECK(lines_of(which, 5) != lines_of(which, 6));
    }
}

// Guards against promises that break only when several failures meet.
TEST_CASE("200 random combinations of failures break no promise")
{
    std::vector<run_request> requests;
    for (std::uint64_t it = 1; it <= 200; ++it)
        requests.push_back(
            {it % 2 == 0 ? "jamaica" : "norte", random_scenario(it),
             variant::turmericlane, it});
    auto check = [](const run_request& request, const run_result& result)
    {
        std::ostringstream detail;
        print_table(detail, result);
        INFO("seed " << request.seed << "\n" << detail.str());
        CHECK(result.total_violations == 0);
    };
    run_all(requests, check);
}

} // namespace turmericlane::bench
