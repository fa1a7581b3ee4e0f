#pragma once

#include "bench_run.h"

namespace turmericlane::bench
{

/** Describes one run of a series. */
struct run_request
{
    std::string deployment;
    scenario selected_scenario;
    variant selected_variant = variant::naive;
    std::uint64_t seed = 1;
};

/** Runs a series on up to five threads and reports the results in the order of
    the requests.

    @param on_result  called on the calling thread */
void run_in_parallel(
    const std::vector<run_request>& requests,
    const std::function<void(const run_request&, const run_result&)>&
        on_result);

} // namespace turmericlane::bench
