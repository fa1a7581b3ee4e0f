#include "../backends/backend_codec.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericlane;

namespace
{

backend_reply decode(int http_status, std::string body)
{
    exchange_result exchange;
    exchange.status = exchange_status::replied;
    exchange.http_status = http_status;
    exchange.body = std::move(body);
    return decode_search(exchange);
}

constexpr int http_ok = 200;

} // namespace

TEST_CASE("a reply is decoded with its snapshot, epoch, range and hits")
{
    const auto reply = decode(
        http_ok,
        R"({"snapshot":7,"epoch":2,"oldest":6,"newest":7,"note":{"a":[1]},
                "hits":[{"id":"a","score":1.5},{"score":2,"id":"b","x":null}]})");
    CHECK(reply.status == backend_status::ok);
    CHECK(reply.snapshot == 7);
    CHECK(reply.epoch == 2);
    CHECK(reply.served_snapshots.oldest == 6);
    CHECK(reply.served_snapshots.newest == 7);
    REQUIRE(reply.hits.size() == 2);
    CHECK(reply.hits[0].document == "a");
    CHECK(reply.hits[0].score == 1.5);
    CHECK(reply.hits[1].document == "b");
    CHECK(reply.hits[1].score == 2.0);
}

TEST_CASE("a malformed reply never counts as an answer")
{
    // Guards against hits or snapshots that are taken from an incomplete reply.
    const char* bodies[] = {
        "",
        "[]",
        "7",
        "null",
        "{",
        R"({"snapshot":7})",
        R"({"snapshot":0,"hits":[]})",
        R"({"snapshot":-7,"hits":[]})",
        R"({"snapshot":"7","hits":[]})",
        R"({"snapshot":null,"hits":[]})",
        R"({"snapshot":7,"hits":{}})",
        R"({"snapshot":7,"hits":[{"id":"a"}]})",
        R"({"snapshot":7,"hits":[{"id":1,"score":1}]})",
        R"({"snapshot":7,"hits":[{"id":"a","score":"1"}]})",
        R"({"snapshot":7,"hits":[{"id":"a","score":1}],)"};
    for (const auto* it : bodies)
    {
        CAPTURE(it);
        CHECK(decode(http_ok, it).status == backend_status::bad_reply);
    }
}

TEST_CASE("a rejected snapshot comes with the range that is served")
{
    constexpr int http_conflict = 409;
    const auto reply = decode(http_conflict, R"({"oldest":6,"newest":7})");
    CHECK(reply.status == backend_status::snapshot_gone);
    CHECK(reply.served_snapshots.newest == 7);
    CHECK(decode(http_conflict, "x").status == backend_status::bad_reply);
}

TEST_CASE("a query with special characters stays one JSON string")
{
    backend_request request;
    request.query = "a \"quoted\"\nline\xff";
    const auto job = encode_search(request, 1);
    const auto body = nlohmann::json::parse(job.body);
    CHECK(body["limit"] == 10);
    CHECK(body["query"].get<std::string>().starts_with("a \"quoted\"\nline"));
}
