#include "booking_world.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::testing;

namespace
{

using kind = booking_world::kind;

/** Delivers the first event of a kind. */
void deliver(booking_world& world, kind what)
{
    for (std::size_t n = 0; n < world.events().size(); ++n)
        if (world.events()[n].what == what)
            return world.deliver(n);
    FAIL("no such event");
}

void deliver_all(booking_world& world)
{
    while (!world.events().empty())
        world.deliver(0);
}

verdict only_answer(const booking_world& world, std::size_t call)
{
    REQUIRE(world.calls().at(call).answers.size() == 1);
    return world.calls()[call].answers[0].state;
}

constexpr std::size_t issuer = 0;
constexpr std::size_t owner = 1;

} // namespace

TEST_CASE("an altered ticket is not taken for a valid one")
{
    manual_clock time;
    ticket_issuer tested(
        "[::1]:80", 7, 0xabc, {1, 2, 3}, time, std::chrono::seconds(30));
    auto issued = tested.issue();
    auto parsed = parse_ticket(to_text(issued));
    REQUIRE(parsed);
    CHECK(*parsed == issued);
    CHECK(tested.authentic(*parsed));
    CHECK(tested.expiry(*parsed) == time.now() + std::chrono::seconds(30));
    auto altered = issued;
    altered.serial = 9;
    CHECK_FALSE(tested.authentic(altered));
    altered = issued;
    altered.expiry += std::chrono::hours(1);
    CHECK_FALSE(tested.authentic(altered));
    ticket_issuer other(
        "[::1]:80", 7, 0xabc, {9}, time, std::chrono::seconds(30));
    CHECK_FALSE(other.authentic(issued));
}

TEST_CASE("malformed ticket text is refused and not half read")
{
    manual_clock time;
    ticket_issuer made("a:1", 7, 5, {}, time, std::chrono::seconds(30));
    auto text = to_text(made.issue());
    for (std::size_t n = 0; n < text.size(); ++n)
        CHECK_FALSE(parse_ticket(text.substr(0, n)));
    CHECK_FALSE(parse_ticket(text + "00"));
    CHECK_FALSE(parse_ticket(text + "x"));
    CHECK_FALSE(parse_ticket("a/-1/1/1/1/" + std::string(64, '0')));
    CHECK_FALSE(parse_ticket("a/1/1/1/ffffffffffff/" + std::string(64, '0')));
    CHECK_FALSE(parse_ticket(std::string(1000, '/')));
}

TEST_CASE("a repeat through another entry gets the first result")
{
    booking_world world(3);
    auto permit = world.issue(issuer);
    world.send(issuer, permit, "a");
    deliver_all(world);
    CHECK(only_answer(world, 0) == verdict::success());
    world.send(2, permit, "a");
    deliver_all(world);
    CHECK(only_answer(world, 1) == verdict::success());
    CHECK(world.calls()[1].answers[0].body == "done");
    CHECK(world.runs() == 1);
}

TEST_CASE("a repeat while the first is in flight waits for its result")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.send(issuer, permit, "a");
    deliver(world, kind::booking);
    world.send(issuer, permit, "a");
    deliver(world, kind::booking);
    CHECK(world.calls()[1].answers.empty());
    CHECK(world.coordinator(issuer).in_flight() == 2);
    deliver_all(world);
    CHECK(only_answer(world, 0) == verdict::success());
    CHECK(only_answer(world, 1) == verdict::success());
    CHECK(world.runs() == 1);
}

TEST_CASE("a ticket is not used for a second payload")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.send(issuer, permit, "a");
    world.send(issuer, permit, "b");
    deliver_all(world);
    CHECK(only_answer(world, 1) == verdict::unknown(reason::ticket_reused));
    CHECK(world.runs() == 1);
}

TEST_CASE("a second payload after a first that was not sent is not_run")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.coordinator(issuer).start_draining();
    world.send(issuer, permit, "a");
    world.send(issuer, permit, "b");
    deliver_all(world);
    CHECK(only_answer(world, 0) == verdict::refused(reason::instance_leaving));
    CHECK(only_answer(world, 1) == verdict::refused(reason::ticket_reused));
}

TEST_CASE("after not_run the same ticket never runs, so that crossed answers "
          "stay true")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.send(issuer, permit, "a");
    deliver(world, kind::booking);
    deliver(world, kind::execute);
    world.drop(0);
    deliver_all(world);
    CHECK(only_answer(world, 0) == verdict::refused(reason::connect_failed));
    world.send(issuer, permit, "a");
    deliver_all(world);
    CHECK(only_answer(world, 1) == verdict::refused(reason::connect_failed));
    CHECK(world.runs() == 0);
}

TEST_CASE("an expired ticket says not_run while its record is kept, and "
          "may_have_run after that")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.advance(booking_world::ticket_lifetime);
    world.send(issuer, permit, "a");
    deliver_all(world);
    CHECK(only_answer(world, 0) == verdict::refused(reason::ticket_expired));
    world.advance(booking_world::grace);
    world.timers(issuer);
    CHECK(world.coordinator(issuer).tickets() == 0);
    world.send(issuer, permit, "a");
    deliver_all(world);
    CHECK(only_answer(world, 1) == verdict::unknown(reason::ticket_forgotten));
}

TEST_CASE("a ticket of a process that was replaced is not executed by its "
          "successor")
{
    booking_world world(3);
    auto permit = world.issue(issuer);
    world.crash(issuer);
    deliver_all(world);
    for (std::size_t node = 0; node < 3; ++node)
        world.send(node, permit, "a");
    deliver_all(world);
    for (std::size_t node = 0; node < 3; ++node)
        CHECK(
            only_answer(world, node) == verdict::unknown(reason::issuer_gone));
    CHECK(world.runs() == 0);
}

TEST_CASE("an owner that was paused before the first byte sends nothing")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.send(issuer, permit, "a");
    deliver(world, kind::booking);
    deliver(world, kind::execute);
    world.advance(booking_world::request_time);
    deliver(world, kind::connect);
    deliver_all(world);
    CHECK(only_answer(world, 0) == verdict::refused(reason::deadline_past));
    CHECK(world.runs() == 0);
}

TEST_CASE("a reply that is lost with its session is may_have_run, for repeats "
          "too")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.send(issuer, permit, "a");
    deliver(world, kind::booking);
    deliver(world, kind::execute);
    deliver(world, kind::connect);
    deliver(world, kind::write);
    deliver(world, kind::backend_reply);
    world.drop(0);
    CHECK(only_answer(world, 0) == verdict::unknown(reason::reply_lost));
    world.send(issuer, permit, "a");
    deliver_all(world);
    CHECK(only_answer(world, 1) == verdict::unknown(reason::reply_lost));
    CHECK(world.runs() == 1);
}

TEST_CASE("a caller gets its answer at the deadline, and a repeat the result")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.send(issuer, permit, "a");
    deliver(world, kind::booking);
    deliver(world, kind::execute);
    deliver(world, kind::connect);
    auto wakeup = world.coordinator(issuer).next_wakeup();
    world.advance(booking_world::request_time);
    CHECK(wakeup < time_point::max());
    world.timers(issuer);
    CHECK(only_answer(world, 0) == verdict::unknown(reason::deadline_reached));
    CHECK(world.coordinator(issuer).in_flight() == 0);
    deliver_all(world);
    world.send(issuer, permit, "a");
    deliver_all(world);
    CHECK(only_answer(world, 1) == verdict::success());
}

TEST_CASE("an owner that forgot a booking does not take its frame for new")
{
    booking_world world(2);
    auto permit = world.issue(issuer);
    world.send(issuer, permit, "a");
    deliver(world, kind::booking);
    world.double_up(0);
    deliver(world, kind::execute);
    while (world.events().size() > 1)
        world.deliver(1);
    CHECK(world.runs() == 1);
    world.advance(booking_world::ticket_lifetime + booking_world::grace);
    world.timers(owner);
    CHECK(world.executor(owner).records() == 0);
    deliver_all(world);
    CHECK(world.runs() == 1);
}

TEST_CASE("tickets are bounded, and free places are used again")
{
    booking_world world(1);
    for (std::size_t n = 0; n < booking_world::most_tickets; ++n)
        world.issue(issuer);
    auto refused = world.coordinator(issuer).issue();
    REQUIRE_FALSE(refused);
    CHECK(refused.error() == reason::ticket_table_full);
    world.advance(booking_world::ticket_lifetime + booking_world::grace);
    CHECK(world.coordinator(issuer).issue());
}
