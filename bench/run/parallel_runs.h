#pragma once

#include "bench_run.h"

namespace turmericlane::bench
{

/** One run of a series. */
struct run_request
{
    std::string deployment;
    scenario what;
    variant which = variant::naive;
    std::uint64_t seed = 1;
};

/** Runs a series on up to five threads and hands the results over in the order
    of the requests.

    @param on_result  called on the caller's thread */
void run_all(
    const std::vector<run_request>& requests,
    const std::function<void(const run_request&, const run_result&)>&
        on_result);

} // namespace turmericlane::bench
