#include <turmericlane_gateway/gateway/caller_directory.h>

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

/** Twenty instances in north, of which some are named, and two small ones in
    south. */
std::vector<member> make_fleet()
{
    std::vector<member> fleet(22);
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        fleet[i].listen_endpoint = {"10.0.0." + std::to_string(i + 1), 1, 2};
        fleet[i].nonce = i + 1;
        fleet[i].capacity = i < 20 ? 500 : 100;
        fleet[i].data_centre = i < 20 ? "north" : "south";
    }
    return fleet;
}

} // namespace

// Guards against callers of a route with home regions that are sent to a data
// centre outside of them although there is an instance inside.
TEST_CASE("preferred data centres come first, also for instances not named")
{
    const auto fleet = make_fleet();
    caller_directory directory(fleet.front());
    directory.choose_instances(fleet, {{"north", 30}}, 22, time_point{1h});
    REQUIRE(directory.addresses(64).size() < 20);
    const auto in_south = directory.addresses(
        64, [](const std::string& it) { return it == "south"; });
    CHECK(
        in_south ==
        std::vector{fleet[20].listen_endpoint, fleet[21].listen_endpoint});
    const auto in_north = directory.addresses(
        64, [](const std::string& it) { return it == "north"; });
    CHECK(in_north == directory.addresses(64));
    // Without an instance in a preferred data centre, any is better than none.
    const auto nowhere =
        directory.addresses(64, [](const std::string&) { return false; });
    CHECK(nowhere == directory.addresses(64));
}
