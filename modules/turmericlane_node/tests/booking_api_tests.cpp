#include "../api/booking_api.h"

#include <doctest/doctest.h>

using namespace turmericlane;

namespace
{

bundle two_services()
{
    bundle made;
    service_map desk;
    desk.id = 1;
    desk.name = "phone_desk";
    desk.bookable = true;
    service_map library;
    library.id = 2;
    library.name = "pattern_library";
    made.services = {desk, library};
    return made;
}

reason refusal_of(std::string_view body)
{
    const auto parsed = parse_booking(body, two_services());
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().state.result == outcome::not_run);
    return parsed.error().state.cause;
}

} // namespace

TEST_CASE("a booking that can't be run at most once is refused by its reason")
{
    CHECK(
        refusal_of(R"({"service":"phone_desk","key":"k"})") ==
        reason::ticket_required);
    CHECK(
        refusal_of(R"({"ticket":"t","service":"other","key":"k"})") ==
        reason::unknown_service);
    CHECK(
        refusal_of(R"({"ticket":"t","service":"pattern_library","key":"k"})") ==
        reason::not_bookable);
    CHECK(
        refusal_of(R"({"ticket":"t","service":"phone_desk"})") ==
        reason::missing_field);
    CHECK(refusal_of(R"({"ticket":"t","service":"phone_desk","key":"k",
                       "deadline_ms":0})") == reason::deadline_past);
    CHECK(refusal_of("no json") == reason::bad_json);
}

TEST_CASE("a checked booking keeps its fields")
{
    const auto parsed = parse_booking(
        R"({"ticket":"t","service":"phone_desk","key":"k","payload":"p",
            "rank":"urgent","deadline_ms":90})",
        two_services());
    REQUIRE(parsed);
    CHECK(parsed->payload == "p");
    CHECK(parsed->time_left == std::chrono::milliseconds(90));
}
