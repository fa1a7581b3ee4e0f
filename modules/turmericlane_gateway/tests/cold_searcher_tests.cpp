#include "gateway_fixture.h"

#include <turmericlane_gateway/searchers/answer_reader.h>
#include <turmericlane_gateway/searchers/cold_searchers.h>

#include <doctest/doctest.h>

#include <algorithm>

#include <sys/mman.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** Searchers of two services, of which "paced" has a warm-up rate, and an
    instance that is one of six. */
struct cold_fixture : private searcher_listener
{
    cold_fixture()
        : log(loop, time, ::memfd_create("log", MFD_CLOEXEC), "test")
        , registry(time, *this)
        , cold(time, registry, log, 1)
    {
        time.advance(100s);
        configure(12.0);
        for (std::uint64_t i = 1; i <= 6; ++i)
        {
            member value;
            value.nonce = i;
            named_members.push_back(value);
        }
        settle();
    }

    void configure(double rate)
    {
        const std::vector<service_settings> services = {
            {"paced", 20, 10s, rate}, {"free", 20, 10s, 0.0}};
        cold.on_configuration(services);
    }

    void settle()
    {
        for (int i = 0; i < 10; ++i)
        {
            cold.on_fleet(named_members, named_members.size(), 6);
            time.advance(500ms);
        }
        cold.on_fleet(named_members, named_members.size(), 6);
    }

    std::shared_ptr<searcher> publish(
        const std::string& id,
        const std::string& service,
        duration warm_up_time,
        std::uint32_t slots = 1)
    {
        searcher_entry entry;
        entry.id = id;
        entry.service = service;
        entry.address = "10.0.0.1";
        entry.data_centre = "north";
        entry.slots = slots;
        entry.warm_up_time = warm_up_time;
        registry.on_entry(entry);
        cold.on_entry(entry);
        const auto replicas = registry.service_searchers(service);
        const auto match = std::find_if(
            replicas.begin(), replicas.end(),
            [&id](const auto& it) { return it->entry().id == id; });
        REQUIRE(match != replicas.end());
        (*match)->set_max_in_flight(100);
        return *match;
    }

    /** Sends while the searcher has capacity, at most 50 requests. */
    int send(searcher& target)
    {
        int count = 0;
        for (; count < 50 && target.has_capacity(time.now()); ++count)
            target.on_request_sent(time.now());
        return count;
    }

    void searcher_added(const std::shared_ptr<searcher>& target) override
    {
        cold.on_service_changed(target->entry().service);
    }

    void searcher_leaving(
        const std::shared_ptr<searcher>&, std::string_view) override
    {
    }

    /** Returns the number of cold searchers from the metrics. */
    double count_cold()
    {
        cold.report(metrics);
        return metrics.cold_searchers.value();
    }

    event_context loop;
    manual_clock time;
    json_log log;
    gateway_metrics metrics;
    searcher_registry registry;
    cold_searchers cold;
    std::vector<member> named_members;
};

} // namespace

// Guards against a cold searcher that gets more than this instance's share, by
// whichever source it is cold, and against a bound on other services.
TEST_CASE_FIXTURE(
    cold_fixture, "a searcher is paced whatever states that it is cold")
{
    std::shared_ptr<searcher> target;
    SUBCASE("its first entry")
    {
        target = publish("a", "paced", 5s);
    }
    SUBCASE("a later entry")
    {
        target = publish("a", "paced", 0s);
        CHECK(send(*target) == 50);
        time.advance(2s);
        cold.on_fleet(named_members, 6, 6);
        target = publish("a", "paced", 5s, 2);
    }
    SUBCASE("an answer")
    {
        target = publish("a", "paced", 0s);
        cold.on_statement(target, 5s);
    }
    SUBCASE("the end of an evacuation")
    {
        target = publish("a", "paced", 0s);
        registry.on_evacuation("north", true);
        registry.on_evacuation("north", false);
        cold.on_evacuation_ended("north");
    }
    CHECK(count_cold() == 1);
    CHECK(target->warm_up().limit().max_requests == 2);
    CHECK(send(*target) <= 2);
    CHECK_FALSE(target->has_capacity(time.now()));
}

// Guards against a change for services without a rate.
TEST_CASE_FIXTURE(cold_fixture, "a service without a rate is not paced")
{
    const auto target = publish("a", "free", 5s);
    cold.on_statement(target, 10s);
    cold.on_evacuation_ended("north");
    CHECK(send(*target) == 50);
    CHECK(target->quiet_end() <= time.now());
    CHECK(count_cold() == 0);
}

// Guards against the use of a data centre that returns as if it were warm in
// part, and of others as if they were cold.
TEST_CASE_FIXTURE(
    cold_fixture, "the end of an evacuation concerns its data centre only")
{
    const auto target = publish("a", "paced", 0s);
    cold.on_evacuation_ended("south");
    CHECK(count_cold() == 0);
    cold.on_evacuation_ended("north");
    CHECK(target->warm_up().cold_end() == time.now() + 10s);
}

// Guards against a rate that a new version of the configuration has changed or
// removed.
TEST_CASE_FIXTURE(cold_fixture, "a new configuration changes the rate at once")
{
    const auto target = publish("a", "paced", 60s);
    CHECK(target->warm_up().limit().max_requests == 2);
    configure(60.0);
    CHECK(target->warm_up().limit().max_requests == 10);
    configure(0.0);
    CHECK(send(*target) == 50);
    CHECK(count_cold() == 0);
}

// Guards against a searcher that is paced after its warm-up, and against a
// share that lapses while the fleet is stable.
TEST_CASE_FIXTURE(cold_fixture, "the share is renewed until the warm-up ends")
{
    const auto target = publish("a", "paced", 8s);
    settle();
    CHECK(send(*target) == 2);
    time.advance(3s);
    cold.on_fleet(named_members, 6, 6);
    CHECK(send(*target) == 50);
    CHECK(count_cold() == 0);
}

// Guards against a warm-up time that cannot be used, or that hides a searcher
// for ever.
TEST_CASE("the warm-up time in an answer is read within bounds")
{
    const auto names = test_names();
    const auto read = [&names](const std::string& text)
    {
        boost::beast::http::fields fields;
        fields.insert("X-Warm-Up", text);
        return read_statement(200, fields, names);
    };
    CHECK(read("250").warm_up_time == 250ms);
    CHECK(read("250").odd_field.empty());
    CHECK(read("0").warm_up_time == 0s);
    CHECK(read("0").odd_field.empty());
    CHECK(read("1.5").warm_up_time == 1500us);
    for (const auto* it : {"1e12", "1e999", "inf"})
    {
        CHECK(read(it).warm_up_time == 1h);
        CHECK(read(it).odd_field == "X-Warm-Up");
    }
    for (const auto* it : {"-1", "soon", "12x", "nan", "-1e999", " "})
    {
        CAPTURE(it);
        CHECK(read(it).warm_up_time == 0s);
    }
    for (const auto* it : {"-1", "soon", "12x", "nan", "-1e999"})
        CHECK(read(it).odd_field == "X-Warm-Up");
}

// Guards against an instance that does not learn from answers, success or not,
// that a searcher is cold, and that serves all requests from it regardless.
TEST_CASE_FIXTURE(
    gateway_fixture, "a searcher that says that it is cold is not flooded")
{
    // The first request uses any share for longer than the test runs.
    single_service_warm_up_rate = 0.001;
    add_raw_searcher(
        "one", "a",
        [](const raw_connection& connection, const std::string& request)
        { connection->write(own_answer(request, "X-Warm-Up: 60000\r\n")); });
    start(0, 1.0);
    REQUIRE(get("/one/x")->status == 200);
    const auto refusal = get("/one/x");
    REQUIRE(refusal);
    CHECK(refusal->status == 503);
    CHECK_FALSE(field(refusal->fields, "Retry-After").empty());
    CHECK(
        instance.metrics_text().find("turmericlane_cold_searchers 1") !=
        std::string::npos);
    CHECK(log_text().find("\"searcher_cold\"") != std::string::npos);
}

// Guards against a data centre that gets all requests at once when it returns
// from an evacuation.
TEST_CASE_FIXTURE(
    gateway_fixture, "a data centre that returns from an evacuation is cold")
{
    auto expected_status = 200U;
    SUBCASE("with a rate")
    {
        // The first request uses any share for longer than the test runs.
        single_service_warm_up_rate = 0.001;
        expected_status = 503;
    }
    SUBCASE("without a rate") {}
    add_searcher("one", "a", signed_answer("sig", "body"));
    start(0, 1.0);
    REQUIRE(get("/one/x")->status == 200);
    const std::string key = "evacuation";
    std::uint64_t revision = 9;
    for (const auto is_active : {true, false})
    {
        store.changes[key] = evacuation_order{
            searchers.front()->entry("one").data_centre, is_active};
        store_answer changes;
        changes.revision = ++revision;
        changes.items.push_back({key, revision, "opaque"});
        instance.on_store_answer(std::move(changes));
    }
    CHECK(get("/one/x")->status == expected_status);
}
