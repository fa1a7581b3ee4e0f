#include "examples.h"

#include <doctest/doctest.h>

#include <set>

using namespace turmericlane;

namespace
{

/** A change that makes a valid bundle invalid, and the expected error. */
struct invalid_field
{
    const char* pointer;
    nlohmann::json value;
    const char* error_path;
    const char* error_text;
};

void check_field_refused(const invalid_field& invalid)
{
    CAPTURE(invalid.pointer);
    auto document = example_document("norte");
    document[nlohmann::json::json_pointer(invalid.pointer)] = invalid.value;
    auto result = parse_bundle(document.dump(), "b.json");
    REQUIRE_FALSE(result);
    CHECK(result.error().file == "b.json");
    CHECK(result.error().path == invalid.error_path);
    CAPTURE(result.error().detail);
    CHECK(result.error().detail.find(invalid.error_text) != std::string::npos);
}

void check_text_refused(
    std::string_view text,
    std::string_view error_path,
    std::string_view error_text)
{
    auto result = parse_bundle(text, "b.json");
    REQUIRE_FALSE(result);
    CHECK(result.error().path == error_path);
    CAPTURE(result.error().detail);
    CHECK(result.error().detail.find(error_text) != std::string::npos);
}

std::size_t searcher_count(const service_map& service)
{
    std::size_t n = 0;
    for (const auto& it : service.groups)
        n += it.searchers.size();
    return n;
}

} // namespace

TEST_CASE("the example bundles have the sizes of the users' systems")
{
    struct expected_service
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
    auto check_services =
        [](const char* name, std::initializer_list<expected_service> services)
    {
        auto parsed_bundle = parse_bundle(read_example(name), name);
        REQUIRE_MESSAGE(parsed_bundle, name);
        CHECK(parsed_bundle->max_instances == 9);
        CHECK(parsed_bundle->services.size() == services.size());
        for (const auto& it : services)
        {
            CAPTURE(it.service);
            const auto* service = parsed_bundle->find_service(it.service);
            REQUIRE(service != nullptr);
            CHECK(service->groups.size() == it.groups);
            CHECK(searcher_count(*service) == it.searchers);
            CHECK(service->slots == it.slots);
            CHECK(service->connection_limit == it.limit);
            CHECK(parsed_bundle->connection_share(*service) == it.share);
            CHECK(service->connect_cost.count() == it.connect_us);
            CHECK(service->bookable == it.bookable);
        }
    };
    check_services(
        "jamaica", {{"allocation_desk", 10, 30, 3, 30, 5, 6000, true},
                    {"fee_ledger", 15, 45, 3, 30, 5, 6000, true},
                    {"vendor_records", 15, 15, 3, 100, 16, 1000, false},
                    {"announcements", 7, 7, 3, 100, 16, 1000, false}});
    check_services(
        "norte", {{"phone_desk", 10, 30, 2, 25, 4, 6000, true},
                  {"dues_ledger", 15, 45, 2, 25, 4, 6000, true},
                  {"pattern_library", 10, 10, 3, 40, 6, 1000, false},
                  {"shipping_desk", 5, 5, 3, 40, 6, 1000, false}});
}

// Guards against an upgrade after which instances refuse the bundle in force
// because it doesn't have this field.
TEST_CASE("a bundle may leave out the data centres of the ordinals")
{
    auto document = example_document("norte");
    auto bundle_with_list = parse_bundle(document.dump(), "norte");
    REQUIRE(bundle_with_list);
    CHECK(bundle_with_list->ordinal_data_centres.size() == 4);
    document.erase("ordinal_data_centres");
    auto bundle_without_list = parse_bundle(document.dump(), "norte");
    REQUIRE(bundle_without_list);
    CHECK(bundle_without_list->ordinal_data_centres.empty());
}

TEST_CASE("searchers of a group in the examples are in different data centres")
{
    for (const auto* name : {"jamaica", "norte"})
    {
        auto parsed_bundle = parse_bundle(read_example(name), name);
        REQUIRE(parsed_bundle);
        for (const auto& service : parsed_bundle->services)
            for (const auto& group : service.groups)
            {
                std::set<std::string> data_centres;
                for (const auto& it : group.searchers)
                    data_centres.insert(it.data_centre);
                CHECK(data_centres.size() == group.searchers.size());
            }
    }
}

TEST_CASE("a value of the wrong type or out of range is refused")
{
    const auto* searcher = "/services/0/groups/0/searchers/0";
    auto path_of_field = [&](const char* name)
    { return std::string(searcher) + name; };
    auto port = path_of_field("/port");
    auto address = path_of_field("/address");
    auto leaving = path_of_field("/leaving");
    auto data_centre = path_of_field("/data_centre");
    const invalid_field invalid_fields[] = {
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
        {address.c_str(), "localhost", address.c_str(), "not an IP address"},
        {address.c_str(), "127.0.0.01", address.c_str(), "not an IP address"},
        {address.c_str(), "0:0::1", address.c_str(), "shortest form"},
        {leaving.c_str(), "no", leaving.c_str(), "true or false"},
        {data_centre.c_str(), "", data_centre.c_str(), "not a name"},
    };
    for (const auto& it : invalid_fields)
        check_field_refused(it);
}

TEST_CASE("a misspelt or forgotten field is not replaced by a default")
{
    check_field_refused({"/hedging", 1, "/hedging", "unknown field"});
    check_field_refused(
        {"/ranks/vital", nlohmann::json::object(), "/ranks/vital",
         "unknown field"});
    auto document = example_document("norte");
    document["services"][3].erase("epoch");
    check_text_refused(document.dump(), "/services/3/epoch", "missing field");
    document = example_document("norte");
    document.erase("policy");
    check_text_refused(document.dump(), "/policy", "missing field");
}

TEST_CASE("a duplicate name, id or address is refused")
{
    check_field_refused(
        {"/services/1/name", "phone_desk", "/services/1/name",
         "duplicate of /services/0/name"});
    check_field_refused(
        {"/services/2/id", 1, "/services/2/id", "duplicate of /services/0/id"});
    check_field_refused(
        {"/services/2/groups/0/searchers/0/id", 1,
         "/services/2/groups/0/searchers/0/id",
         "duplicate of /services/0/groups/0/searchers/0/id"});
    check_field_refused(
        {"/services/0/groups/0/searchers/1/port", 23000,
         "/services/0/groups/0/searchers/1/port",
         "duplicate of /services/0/groups/0/searchers/0/port"});
}

TEST_CASE("a duplicate key is refused and doesn't overwrite the first one")
{
    auto text = read_example("norte");
    auto position = text.find("\"slots\"");
    text.insert(position, "\"slots\": 9, ");
    check_text_refused(text, "/services/0/slots", "duplicate field");
}

TEST_CASE("a connection limit must allow each candidate owner a connection")
{
    check_field_refused(
        {"/services/0/connection_limit", 5, "/services/0/connection_limit",
         "at least 6"});
    auto document = example_document("norte");
    document["services"][0]["connection_limit"] = 6;
    CHECK(parse_bundle(document.dump(), "b.json"));
    // A single instance is the only candidate owner.
    document["services"][0]["connection_limit"] = 2;
    document["max_instances"] = 1;
    CHECK(parse_bundle(document.dump(), "b.json"));
}

TEST_CASE("text that is not JSON, too long or too deep is refused")
{
    check_text_refused("", "", "parse error");
    check_text_refused("{\"version\": 1", "", "line 1");
    check_text_refused("[]", "", "must be an object, not array");
    check_text_refused("{\"version\": 1e999}", "", "number overflow");
    check_text_refused("{\"version\": \"\xff\"}", "", "ill-formed UTF-8");
    check_text_refused(
        std::string(max_bundle_bytes + 1, ' '), "", "1000001 bytes");
    check_text_refused(
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
    auto canonical_document = parse_document(canonical_text(*first), "x");
    REQUIRE(canonical_document);
    CHECK(canonical_text(*canonical_document) == canonical_text(*first));
}
