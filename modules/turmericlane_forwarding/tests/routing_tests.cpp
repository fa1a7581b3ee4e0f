#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

using namespace turmericlane;

namespace
{

route make_route(std::string host, std::string prefix, std::string service)
{
    route result;
    result.name = host + prefix;
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.services = {{std::move(service), 1.0}};
    return result;
}

route_table make_table(std::vector<route> routes)
{
    route_configuration result;
    result.version = 1;
    result.routes = std::move(routes);
    return {std::move(result), 0.0};
}

} // namespace

// Guards against a request that goes to the service of a shorter prefix.
TEST_CASE("the longest prefix of the host selects the route")
{
    auto table = make_table(
        {make_route("a.example", "/", "all"),
         make_route("a.example", "/x/y/", "deep"),
         make_route("a.example", "/x/", "wide"),
         make_route("b.example", "/x/y/z/", "other")});
    const auto service = [&](std::string_view host, std::string_view path)
    { return table.find(host, path)->services.front().service; };
    CHECK(service("a.example", "/x/y/z/1") == "deep");
    CHECK(service("a.example", "/x/1") == "wide");
    CHECK(service("a.example", "/xy") == "all");
    CHECK(service("A.Example", "/x/") == "wide");
    CHECK(table.find("b.example", "/x/y/") == nullptr);
    CHECK(table.find("c.example", "/") == nullptr);
}

// Guards against shares that are exact only on average over a long time.
TEST_CASE("the shares of a split are exact in every cycle")
{
    const std::vector<weighted_service> services = {
        {"a", 7.0}, {"b", 2.0}, {"c", 1.0}};
    weighted_split split(services, 0.37);
    for (int run = 0; run < 20; ++run)
    {
        int counts[3] = {};
        for (int i = 0; i < 10; ++i)
            ++counts[split.select_next()];
        CHECK(counts[0] == 7);
        CHECK(counts[1] == 2);
        CHECK(counts[2] == 1);
    }
}

TEST_CASE("a service of weight zero gets no request")
{
    const std::vector<weighted_service> services = {{"a", 0.0}, {"b", 3.0}};
    weighted_split split(services, 0.0);
    for (int i = 0; i < 10; ++i)
        CHECK(split.select_next() == 1);
}

// Guards against a new version that changes requests in flight.
TEST_CASE("a replaced table stays valid while a request owns it")
{
    auto table = std::make_shared<route_table>(
        make_table({make_route("a.example", "/", "old")}));
    const auto* const matched_route = table->find("a.example", "/");
    const auto shared_table = table;
    table = std::make_shared<route_table>(
        make_table({make_route("a.example", "/", "new")}));
    CHECK(shared_table->next_service(*matched_route) == "old");
}
