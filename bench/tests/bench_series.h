#pragma once

#include "../run/parallel_runs.h"

namespace turmericlane::bench
{

/** The quick runs of all scenarios with a fixed seed. The first use makes all
    that the bounds need, so that the tests share them. */
const run_result& quick_result(
    const std::string& deployment, const std::string& scenario, variant which);

} // namespace turmericlane::bench
