#include "../api/booking_api.h"

#include <doctest/doctest.h>

using namespace turmericlane;

namespace
{

bundle make_bundle()
{
    bundle bundle_in_force;
    service_map desk;
    desk.id = 1;
    desk.name = "phone_desk";
    desk.bookable = true;
    service_map library;
    library.id = 2;
    library.name = "pattern_library";
    bundle_in_force.services = {desk, library};
    return bundle_in_force;
}

reason refusal_cause(std::string_view body)
{
    const auto form = parse_booking(body, make_bundle());
    REQUIRE_FALSE(form);
    CHECK(form.error().error_verdict.result == outcome::not_run);
    return form.error().error_verdict.cause;
}

} // namespace

TEST_CASE("an invalid booking is refused with its reason")
{
    CHECK(
        refusal_cause(R"({"service":"phone_desk","key":"k"})") ==
        reason::ticket_required);
    CHECK(
        refusal_cause(R"({"ticket":"t","service":"other","key":"k"})") ==
        reason::unknown_service);
    CHECK(
        refusal_cause(
            R"({"ticket":"t","service":"pattern_library","key":"k"})") ==
        reason::not_bookable);
    CHECK(
        refusal_cause(R"({"ticket":"t","service":"phone_desk"})") ==
        reason::missing_field);
    CHECK(refusal_cause(R"({"ticket":"t","service":"phone_desk","key":"k",
                       "deadline_ms":0})") == reason::deadline_past);
    CHECK(refusal_cause("no json") == reason::bad_json);
}

TEST_CASE("a valid booking is parsed with its fields")
{
    const auto form = parse_booking(
        R"({"ticket":"t","service":"phone_desk","key":"k","payload":"p",
            "rank":"urgent","deadline_ms":90})",
        make_bundle());
    REQUIRE(form);
    CHECK(form->payload == "p");
    CHECK(form->time_left == std::chrono::milliseconds(90));
}
