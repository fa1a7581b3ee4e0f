#include "contention_load.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;
using tests::contention_load;
using tests::engine_simulation;

// Guards against a burst of archive requests that delays urgent ones where
// competition settings are off.
TEST_CASE("urgent callers are served during a burst of archive requests")
{
    for (const auto seed : {1U, 2U, 3U})
    {
        CAPTURE(seed);
        engine_simulation simulation;
        contention_load load(
            simulation, {tests::make_urgent_kind(), tests::make_archive_kind()},
            seed);
        load.run(3, 3s);
        CAPTURE(load.text());
        CHECK(load.counts(0).served_in_time() > 0.95);
    }
}
