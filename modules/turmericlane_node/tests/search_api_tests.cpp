#include "../api/search_api.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericlane;

namespace
{

bundle make_bundle()
{
    bundle bundle_in_force;
    bundle_in_force.version = 7;
    bundle_in_force.ranks[index_of(rank::urgent)].default_deadline =
        std::chrono::milliseconds(140);
    service_map desk;
    desk.id = 3;
    desk.name = "phone_desk";
    bundle_in_force.services.push_back(desk);
    return bundle_in_force;
}

struct bad_input
{
    std::string_view body;
    reason cause;
    std::string_view detail;
};

} // namespace

TEST_CASE("each kind of invalid search is refused with reason and detail")
{
    const bad_input inputs[] = {
        {"{", reason::bad_json, "the body is not a JSON object"},
        {"[]", reason::bad_json, "the body is not a JSON object"},
        {R"({"services":["phone_desk"],"query":"x"})", reason::missing_field,
         "field 'request_id' is missing"},
        {R"({"request_id":"a","query":"x"})", reason::missing_field,
         "field 'services' is missing"},
        {R"({"request_id":"a","services":["phone_desk"]})",
         reason::missing_field, "field 'query' is missing"},
        {R"({"request_id":7,"services":["phone_desk"],"query":"x"})",
         reason::bad_field, "field 'request_id' is not a string"},
        {R"({"request_id":"a","services":["nothing"],"query":"x"})",
         reason::unknown_service, "service 'nothing' is not known"},
        {R"({"request_id":"a","services":[],"query":"x"})", reason::bad_field,
         "field 'services' must be a list of 1 to 64 strings"},
        {R"({"request_id":"a","services":["phone_desk","phone_desk"],
             "query":"x"})",
         reason::bad_field, "field 'services' repeats an entry"},
        {R"({"request_id":"a","services":["phone_desk"],"query":"x",
             "rank":"vital"})",
         reason::bad_field, "field 'rank' must be urgent, ordinary or archive"},
        {R"({"request_id":"a","services":["phone_desk"],"query":"x",
             "deadline_ms":0})",
         reason::deadline_past, "field 'deadline_ms' is in the past"},
        {R"({"request_id":"a","services":["phone_desk"],"query":"x",
             "deadline_ms":-5})",
         reason::deadline_past, "field 'deadline_ms' is in the past"},
        {R"({"request_id":"a","services":["phone_desk"],"query":"x",
             "deadline_ms":18446744073709551615})",
         reason::bad_field,
         "field 'deadline_ms' must be an integer from 1 to 60000"},
        {R"({"request_id":"a","services":["phone_desk"],"query":"x",
             "limit":0})",
         reason::bad_field, "field 'limit' must be an integer from 1 to 1000"},
        {R"({"request_id":"a","services":["phone_desk"],"query":"x",
             "colour":"red"})",
         reason::bad_field, "field 'colour' is not known"},
    };
    const auto bundle_in_force = make_bundle();
    manual_clock time_source;
    for (const auto& it : inputs)
    {
        CAPTURE(it.body);
        const auto request =
            parse_search(it.body, bundle_in_force, time_source.now());
        REQUIRE_FALSE(request);
        CHECK(request.error().error_verdict == verdict::refused(it.cause));
        CHECK(request.error().detail == it.detail);
        CHECK(http_status_of(request.error().error_verdict) >= 400);
    }
}

TEST_CASE("a search without a deadline gets the default of its rank")
{
    manual_clock time_source;
    const auto request = parse_search(
        R"({"request_id":"a","services":["phone_desk"],"query":"x",
            "rank":"urgent"})",
        make_bundle(), time_source.now());
    REQUIRE(request);
    CHECK(
        request->deadline ==
        time_source.now() + std::chrono::milliseconds(140));
    CHECK(request->services == std::vector<std::uint32_t>{3});
}

TEST_CASE("an answer states coverage by service and overall")
{
    search_answer answer;
    answer.state = verdict::success();
    answer.caller_request_id = "a\xff";
    answer.coverage = {{3, 9, 10}};
    answer.hits = {{"doc", 1.5}};
    const auto answer_json = to_json(answer, make_bundle());
    const auto document = nlohmann::json::parse(answer_json);
    CHECK(document["coverage"]["overall"] == 0.9);
    CHECK(document["coverage"]["services"]["phone_desk"]["answered"] == 9);
    CHECK(document["hits"][0]["id"] == "doc");
}
