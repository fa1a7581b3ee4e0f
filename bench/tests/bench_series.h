#pragma once

#include "../run/parallel_runs.h"

namespace turmericlane::bench
{

/** Returns the result of a quick run with a fixed seed. The first call makes
    all runs that the bounds need, so that the tests share them. */
const run_result& quick_result(
    const std::string& deployment,
    const std::string& scenario,
    variant selected_variant);

} // namespace turmericlane::bench
