#include "../api/field_reader.h"

#include <doctest/doctest.h>

using namespace turmericlane;

TEST_CASE("a refusal before validation has the caller's request id")
{
    // Without the id, a caller can't match the refusal to its request.
    CHECK(request_id_of(R"({"request_id":"a 7","query":1})") == "a 7");
    CHECK(request_id_of(R"({"request_id":7})").empty());
    CHECK(request_id_of("[]").empty());
    CHECK(request_id_of("{").empty());
}
