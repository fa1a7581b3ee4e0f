#include "examples.h"

#include <doctest/doctest.h>

#include <set>

using namespace turmericlane;

namespace
{

/** A change to a good bundle, and the error that it must give. */
struct bad_input
{
    const char* pointer;
    nlohmann::json value;
    const char* error_path;
    const char* error_part;
};

void check_refused(const bad_input& it)
{
    CAPTURE(it.pointer);
    auto document = example_document("norte");
    document[nlohmann::json::json_pointer(it.pointer)] = it.value;
    auto parsed = parse_bundle(document.dump(), "b.json");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().file == "b.json");
    CHECK(parsed.error().path == it.error_path);
    CAPTURE(parsed.error().detail);
    CHECK(parsed.error().detail.find(it.error_part) != std::string::npos);
}

void check_text(
    std::string_view text, std::string_view path, std::string_view part)
{
    auto parsed = parse_bundle(text, "b.json");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().path == path);
    CAPTURE(parsed.error().detail);
    CHECK(parsed.error().detail.find(part) != std::string::npos);
}

std::size_t searcher_count(const service_map& of)
{
    std::size_t n = 0;
    for (const auto& it : of.groups)
        n += it.searchers.size();
    return n;
}

} // namespace

TEST_CASE("the examples have the sizes of the two users")
{
    struct expected
    {
        const char* service;
        std::size_t groups;
        std::size_t searchers;
        std::uint32_t slots;
        std::uint32_t limit;
        std::uint32_t share;
        int connect_us;
        bool bookable;
    };
    auto check = [](const char* name, std::initializer_list<expected> services)
    {
        auto parsed = parse_bundle(read_example(name), name);
        REQUIRE_MESSAGE(parsed, name);
        CHECK(parsed->max_instances == 9);
        CHECK(parsed->services.size() == services.size());
        for (const auto& it : services)
        {
            CAPTURE(it.service);
            const auto* found = parsed->find_service(it.service);
            REQUIRE(found != nullptr);
            CHECK(found->groups.size() == it.groups);
            CHECK(searcher_count(*found) == it.searchers);
            CHECK(found->slots == it.slots);
            CHECK(found->connection_limit == it.limit);
            CHECK(parsed->connection_share(*found) == it.share);
            CHECK(found->connect_cost.count() == it.connect_us);
            CHECK(found->bookable == it.bookable);
        }
    };
    check(
        "jamaica", {{"allocation_desk", 10, 30, 3, 30, 5, 6000, true},
                    {"fee_ledger", 15, 45, 3, 30, 5, 6000, true},
                    {"vendor_records", 15, 15, 3, 100, 16, 1000, false},
                    {"announcements", 7, 7, 3, 100, 16, 1000, false}});
    check(
        "norte", {{"phone_desk", 10, 30, 2, 25, 4, 6000, true},
                  {"dues_ledger", 15, 45, 2, 25, 4, 6000, true},
                  {"pattern_library", 10, 10, 3, 40, 6, 1000, false},
                  {"shipping_desk", 5, 5, 3, 40, 6, 1000, false}});
}

// Guards against an upgrade that refuses the bundle in force.
TEST_CASE("a bundle may leave out the data centres of the ordinals")
{
    auto document = example_document("norte");
    auto stated = parse_bundle(document.dump(), "norte");
    REQUIRE(stated);
    CHECK(stated->ordinal_data_centres.size() == 4);
    document.erase("ordinal_data_centres");
    auto silent = parse_bundle(document.dump(), "norte");
    REQUIRE(silent);
    CHECK(silent->ordinal_data_centres.empty());
}

TEST_CASE("replicas of a group in the examples survive a lost data centre")
{
    for (const auto* name : {"jamaica", "norte"})
    {
        auto parsed = parse_bundle(read_example(name), name);
        REQUIRE(parsed);
        for (const auto& service : parsed->services)
            for (const auto& group : service.groups)
            {
                std::set<std::string> centres;
                for (const auto& it : group.searchers)
                    centres.insert(it.data_centre);
                CHECK(centres.size() == group.searchers.size());
            }
    }
}

TEST_CASE("a value of the wrong type or range is not put in force")
{
    const auto* searcher = "/services/0/groups/0/searchers/0";
    auto field = [&](const char* name) { return std::string(searcher) + name; };
    auto port = field("/port");
    auto address = field("/address");
    auto leaving = field("/leaving");
    auto centre = field("/data_centre");
    const bad_input inputs[] = {
        {"/version", 0, "/version", "accepted: 1 to 9007199254740991"},
        {"/version", -1, "/version", "-1 is out of range"},
        {"/version", 1.5, "/version", "1.5 is not an integer"},
        {"/version", "1", "/version", "must be an integer, not string"},
        {"/max_instances", 100001, "/max_instances", "1 to 100000"},
        {"/owner_candidates", 17, "/owner_candidates", "1 to 16"},
        {"/data_centre_delay_us", nullptr, "/data_centre_delay_us", "null"},
        {"/ordinal_data_centres", "bilbao", "/ordinal_data_centres",
         "must be an array, not string"},
        {"/ordinal_data_centres/1", "Bilbao", "/ordinal_data_centres/1",
         "not a name"},
        {"/ranks", 3, "/ranks", "must be an object, not number"},
        {"/ranks/urgent/target_ms", 0, "/ranks/urgent/target_ms", "1 to 600"},
        {"/ranks/archive/worth", -2, "/ranks/archive/worth", "out of range"},
        {"/ranks/urgent/min_share", 0.9, "/ranks", "sum of min_share"},
        {"/policy/hedge_budget", 1.01, "/policy/hedge_budget", "0.0 to 1.0"},
        {"/policy/hedge_percentile", true, "/policy/hedge_percentile",
         "must be a number, not boolean"},
        {"/services", nlohmann::json::array(), "/services", "0 elements"},
        {"/services/1/name", "Dues Ledger", "/services/1/name", "not a name"},
        {"/services/0/bookable", 1, "/services/0/bookable", "true or false"},
        {"/services/0/groups", "none", "/services/0/groups", "an array"},
        {"/services/0/groups/2/partition", 3, "/services/0/groups/2/partition",
         "2 is expected here"},
        {port.c_str(), 65536, port.c_str(), "1 to 65535"},
        {address.c_str(), "localhost", address.c_str(), "not an IP number"},
        {address.c_str(), "127.0.0.01", address.c_str(), "not an IP number"},
        {address.c_str(), "0:0::1", address.c_str(), "shortest form"},
        {leaving.c_str(), "no", leaving.c_str(), "true or false"},
        {centre.c_str(), "", centre.c_str(), "not a name"},
    };
    for (const auto& it : inputs)
        check_refused(it);
}

TEST_CASE("a misspelt or forgotten field is not replaced by a default")
{
    check_refused({"/hedging", 1, "/hedging", "unknown field"});
    check_refused(
        {"/ranks/vital", nlohmann::json::object(), "/ranks/vital",
         "unknown field"});
    auto document = example_document("norte");
    document["services"][3].erase("epoch");
    check_text(document.dump(), "/services/3/epoch", "missing field");
    document = example_document("norte");
    document.erase("policy");
    check_text(document.dump(), "/policy", "missing field");
}

TEST_CASE("two things never share a name, an id or an address")
{
    check_refused(
        {"/services/1/name", "phone_desk", "/services/1/name",
         "duplicate of /services/0/name"});
    check_refused(
        {"/services/2/id", 1, "/services/2/id", "duplicate of /services/0/id"});
    check_refused(
        {"/services/2/groups/0/searchers/0/id", 1,
         "/services/2/groups/0/searchers/0/id",
         "duplicate of /services/0/groups/0/searchers/0/id"});
    check_refused(
        {"/services/0/groups/0/searchers/1/port", 23000,
         "/services/0/groups/0/searchers/1/port",
         "duplicate of /services/0/groups/0/searchers/0/port"});
}

TEST_CASE("a repeated key is refused, not overwritten by the last one")
{
    auto text = read_example("norte");
    auto position = text.find("\"slots\"");
    text.insert(position, "\"slots\": 9, ");
    check_text(text, "/services/0/slots", "duplicate field");
}

TEST_CASE("a connection limit leaves every candidate owner a connection")
{
    check_refused(
        {"/services/0/connection_limit", 5, "/services/0/connection_limit",
         "at least 6"});
    auto document = example_document("norte");
    document["services"][0]["connection_limit"] = 6;
    CHECK(parse_bundle(document.dump(), "b.json"));
    // A fleet of one has one candidate.
    document["services"][0]["connection_limit"] = 2;
    document["max_instances"] = 1;
    CHECK(parse_bundle(document.dump(), "b.json"));
}

TEST_CASE("text that is not JSON, too long or too deep is refused")
{
    check_text("", "", "parse error");
    check_text("{\"version\": 1", "", "line 1");
    check_text("[]", "", "must be an object, not array");
    check_text("{\"version\": 1e999}", "", "number overflow");
    check_text("{\"version\": \"\xff\"}", "", "ill-formed UTF-8");
    check_text(std::string(max_bundle_bytes + 1, ' '), "", "1000001 bytes");
    check_text(
        std::string(17, '['), "/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0",
        "nested deeper");
}

TEST_CASE("the canonical form doesn't depend on spaces, order or notation")
{
    auto first = parse_document(R"({"b": 3.0, "a": [1e2, 0.50, -0.0]})", "x");
    auto second = parse_document(R"({"a":[100,5e-1,0],"b":3})", "x");
    REQUIRE(first);
    REQUIRE(second);
    CHECK(canonical_text(*first) == R"({"a":[100,0.5,0],"b":3})");
    CHECK(canonical_text(*second) == canonical_text(*first));
    auto again = parse_document(canonical_text(*first), "x");
    REQUIRE(again);
    CHECK(canonical_text(*again) == canonical_text(*first));
}
