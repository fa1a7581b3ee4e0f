#include "gateway_fixture.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;

namespace
{

/** A gateway with one searcher of the service "one". */
struct evacuation_fixture : gateway_fixture
{
    evacuation_fixture()
    {
        add_searcher("one", "a", signed_answer("sig", "body"));
        data_centre = searchers.front()->entry("one").data_centre;
    }

    /** Delivers an item of the store as the answer to a watch. */
    void report_change(bool is_active)
    {
        const std::string key = "evacuation";
        store.changes[key] = evacuation_order{data_centre, is_active};
        store_answer changes;
        changes.revision = ++revision;
        changes.items.push_back({key, revision, "opaque"});
        instance.on_store_answer(std::move(changes));
    }

    std::string data_centre;
    std::uint64_t revision = 9;
};

} // namespace

// Guards against requests for an evacuated data centre, against refusals that
// say neither that the request has not run nor when to return, and against a
// data centre that stays out of use.
TEST_CASE_FIXTURE(
    evacuation_fixture, "an order of the store evacuates a data centre")
{
    start(0, 1.0);
    REQUIRE(get("/one/x")->status == 200);
    report_change(true);
    const auto refusal = get("/one/x");
    REQUIRE(refusal);
    CHECK(refusal->status == 503);
    CHECK_FALSE(field(refusal->fields, "Retry-After").empty());
    CHECK(searchers.front()->requests.size() == 1);
    CHECK(
        instance.metrics_text().find("turmericlane_evacuated_data_centres 1") !=
        std::string::npos);
    report_change(false);
    CHECK(get("/one/x")->status == 200);
    const auto lines = log_text();
    CHECK(lines.find("\"evacuation_started\"") != std::string::npos);
    CHECK(lines.find("\"evacuation_ended\"") != std::string::npos);
}

// Guards against an instance that starts during an evacuation and doesn't know
// of it.
TEST_CASE_FIXTURE(
    evacuation_fixture, "an instance that starts reads the order with its copy")
{
    // In the order of the keys, the evacuation precedes the searcher or follows
    // it.
    SUBCASE("before the searchers")
    {
        store.changes["a"] = evacuation_order{data_centre, true};
    }
    SUBCASE("after the searchers")
    {
        store.changes["z"] = evacuation_order{data_centre, true};
    }
    start(0, 1.0);
    CHECK(get("/one/x")->status == 503);
    CHECK(searchers.front()->requests.empty());
}
