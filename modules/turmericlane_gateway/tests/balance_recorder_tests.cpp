#include "gateway_fixture.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;

// Guards against shares that operators cannot see, and against a line for each
// of the steps.
TEST_CASE_FIXTURE(
    gateway_fixture, "shares are in the metrics, their reasons in the log")
{
    gateway_metrics metrics;
    balance_recorder recorder(log, metrics);
    const std::vector<balance_change> changes = {
        {"s", "south", 0.1, balance_reason::outside_faster, true},
        {"s", "south", 0.25, balance_reason::outside_faster, false}};
    recorder.record(changes);
    const auto text = metrics.text();
    CAPTURE(text);
    const auto line = text.find("turmericlane_outside_share{");
    REQUIRE(line != std::string::npos);
    const auto series = text.substr(line, text.find('\n', line) - line);
    CHECK(series.find("service=\"s\"") != std::string::npos);
    CHECK(series.find("destination=\"south\"") != std::string::npos);
    CHECK(series.find("0.25") != std::string::npos);
    CHECK(text.find("reason=\"outside_faster\"} 1") != std::string::npos);
    const auto lines = log_text();
    const std::string name = "\"balance_changed\"";
    REQUIRE(lines.find(name) != std::string::npos);
    CHECK(lines.find(name) == lines.rfind(name));
    CHECK(lines.find("\"why\":\"outside_faster\"") != std::string::npos);
}
