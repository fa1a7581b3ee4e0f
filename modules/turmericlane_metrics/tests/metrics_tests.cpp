#include <turmericlane_metrics/turmericlane_metrics.h>

#include <doctest/doctest.h>

#include <limits>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

using namespace turmericlane;
using std::chrono::microseconds;

namespace
{

bool contains_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

// Checks that each line matches the grammar of the text format, that each
// sample follows the type line of its family and that no sample occurs twice.
void check_format(const std::string& text)
{
    const std::regex help("# HELP [a-zA-Z_][a-zA-Z0-9_]* .+");
    const std::regex type(
        "# TYPE ([a-zA-Z_][a-zA-Z0-9_]*) (counter|gauge|histogram)");
    const std::string label =
        R"re([a-zA-Z_][a-zA-Z0-9_]*="([^"\\]|\\\\|\\"|\\n)*")re";
    const std::regex sample(
        "([a-zA-Z_][a-zA-Z0-9_]*)(\\{" + label + "(," + label +
        ")*\\})? ([-+]?[0-9.]+(e[-+][0-9]+)?|[-+]Inf|NaN)");
    std::set<std::string> samples;
    std::string family;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        std::smatch match;
        INFO(line);
        if (std::regex_match(line, help))
            continue;
        if (std::regex_match(line, match, type))
        {
            family = match[1];
            continue;
        }
        REQUIRE(std::regex_match(line, match, sample));
        CHECK(match[1].str().starts_with(family));
        CHECK(samples.insert(line.substr(0, line.rfind(' '))).second);
    }
    CHECK(text.back() == '\n');
}

} // namespace

TEST_CASE("every line of the text is valid Prometheus text format")
{
    metrics_registry registry;
    instance_counters counters(registry);
    registry.counter_of("odd_total", "A\nb \\ c.", {{"a", "\"x\"\\\n"}}).add(3);
    registry.gauge_of("level", "A gauge.").set(-1.5e-9);
    registry.gauge_of("top", "Infinite.")
        .set(std::numeric_limits<double>::infinity());
    registry.histogram_of("wait_microseconds", "A time.", {{"rank", "urgent"}})
        .record(microseconds(150));
    auto text = registry.text();
    check_format(text);
    CHECK(contains_line(text, "# HELP odd_total A\\nb \\\\ c."));
    CHECK(contains_line(text, "odd_total{a=\"\\\"x\\\"\\\\\\n\"} 3"));
    CHECK(contains_line(text, "level -1.5e-09"));
    CHECK(contains_line(text, "top +Inf"));
    CHECK(contains_line(text, "wait_microseconds_sum{rank=\"urgent\"} 150"));
    CHECK(contains_line(text, "wait_microseconds_count{rank=\"urgent\"} 1"));
    CHECK(contains_line(
        text, "wait_microseconds_bucket{rank=\"urgent\",le=\"+Inf\"} 1"));
}

TEST_CASE("every reason has a counter for each rank before the first event")
{
    metrics_registry registry;
    instance_counters counters(registry);
    counters.count_refusal(reason::rank_limit, rank::archive);
    counters.count_retry(reason::shed_by_server, rank::urgent);
    counters.count_closed_connection(reason::frame_auth);
    auto text = registry.text();
    for (auto cause : all_reasons())
        for (auto request_rank : all_ranks)
        {
            auto labels = "{reason=\"" + std::string(to_string(cause)) +
                          "\",rank=\"" + std::string(to_string(request_rank)) +
                          "\"} ";
            bool is_counted =
                cause == reason::rank_limit && request_rank == rank::archive;
            CHECK(contains_line(
                text, "turmericlane_refusals_total" + labels +
                          (is_counted ? "1" : "0")));
            CHECK(
                text.find("turmericlane_retries_total" + labels) !=
                std::string::npos);
        }
    CHECK(contains_line(
        text, "turmericlane_retries_total{reason=\"shed_by_server\","
              "rank=\"urgent\"} 1"));
    CHECK(contains_line(
        text,
        "turmericlane_closed_connections_total{reason=\"frame_auth\"} 1"));
}

TEST_CASE("the same name and labels give the same metric")
{
    metrics_registry registry;
    auto& first = registry.counter_of("a_total", "A.", {{"x", "1"}});
    CHECK(&first == &registry.counter_of("a_total", "A.", {{"x", "1"}}));
    CHECK(&first != &registry.counter_of("a_total", "A.", {{"x", "2"}}));
}

TEST_CASE("a quantile lies in the bucket of its duration")
{
    latency_histogram histogram;
    CHECK(histogram.quantile_us(0.5) == 0.0);
    for (int n = 1; n <= 1000; ++n)
        histogram.record(microseconds(n));
    CHECK(histogram.quantile_us(0.5) >= 500.0);
    CHECK(histogram.quantile_us(0.5) <= 500.0 * 1.26);
    CHECK(histogram.quantile_us(0.99) >= 990.0);
    CHECK(histogram.quantile_us(0.99) <= 990.0 * 1.26);
    CHECK(histogram.sum_us() == 500'500);
}

TEST_CASE("durations outside the range are counted in the outermost buckets")
{
    latency_histogram histogram;
    histogram.record(duration::zero());
    histogram.record(std::chrono::hours(1));
    auto buckets = histogram.buckets();
    CHECK(buckets.front().count == 1);
    CHECK(buckets[buckets.size() - 2].count == 1);
    CHECK(buckets.back().count == 2);
}

TEST_CASE("no event is lost when several threads count at the same time")
{
    metrics_registry registry;
    auto& events = registry.counter_of("events_total", "Events.");
    auto& durations = registry.histogram_of("time_microseconds", "Times.");
    {
        std::vector<std::jthread> threads;
        threads.reserve(4);
        for (int n = 0; n < 4; ++n)
            threads.emplace_back(
                [&]
                {
                    for (int i = 0; i < 10'000; ++i)
                    {
                        events.add();
                        durations.record(microseconds(i));
                    }
                });
        check_format(registry.text());
    }
    CHECK(events.value() == 40'000);
    CHECK(durations.buckets().back().count == 40'000);
}
