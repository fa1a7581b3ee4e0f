#include "booking_simulation.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::testing;

namespace
{

using event_kind = booking_simulation::event_kind;

/** Delivers the first event of a kind. */
void deliver_first(booking_simulation& simulation, event_kind kind)
{
    for (std::size_t n = 0; n < simulation.events().size(); ++n)
        if (simulation.events()[n].kind == kind)
            return simulation.deliver(n);
    FAIL("no event of this kind");
}

void deliver_all(booking_simulation& simulation)
{
    while (!simulation.events().empty())
        simulation.deliver(0);
}

verdict
only_answer(const booking_simulation& simulation, std::size_t call_index)
{
    REQUIRE(simulation.calls().at(call_index).answers.size() == 1);
    return simulation.calls()[call_index].answers[0].final_verdict;
}

constexpr std::size_t issuer = 0;
constexpr std::size_t owner = 1;

} // namespace

TEST_CASE("an altered ticket is not authentic")
{
    manual_clock time;
    ticket_issuer first_issuer(
        "[::1]:80", 7, 0xabc, {1, 2, 3}, time, std::chrono::seconds(30));
    auto issued_ticket = first_issuer.issue();
    auto parsed_ticket = parse_ticket(to_text(issued_ticket));
    REQUIRE(parsed_ticket);
    CHECK(*parsed_ticket == issued_ticket);
    CHECK(first_issuer.is_authentic(*parsed_ticket));
    CHECK(
        first_issuer.expiry(*parsed_ticket) ==
        time.now() + std::chrono::seconds(30));
    auto altered_ticket = issued_ticket;
    altered_ticket.serial = 9;
    CHECK_FALSE(first_issuer.is_authentic(altered_ticket));
    altered_ticket = issued_ticket;
    altered_ticket.expiry += std::chrono::hours(1);
    CHECK_FALSE(first_issuer.is_authentic(altered_ticket));
    ticket_issuer other_issuer(
        "[::1]:80", 7, 0xabc, {9}, time, std::chrono::seconds(30));
    CHECK_FALSE(other_issuer.is_authentic(issued_ticket));
}

TEST_CASE("malformed ticket text is not parsed")
{
    manual_clock time;
    ticket_issuer first_issuer("a:1", 7, 5, {}, time, std::chrono::seconds(30));
    auto text = to_text(first_issuer.issue());
    for (std::size_t n = 0; n < text.size(); ++n)
        CHECK_FALSE(parse_ticket(text.substr(0, n)));
    CHECK_FALSE(parse_ticket(text + "00"));
    CHECK_FALSE(parse_ticket(text + "x"));
    CHECK_FALSE(parse_ticket("a/-1/1/1/1/" + std::string(64, '0')));
    CHECK_FALSE(parse_ticket("a/1/1/1/ffffffffffff/" + std::string(64, '0')));
    CHECK_FALSE(parse_ticket(std::string(1000, '/')));
}

TEST_CASE("a repeated request through another entry gets the first result")
{
    booking_simulation simulation(3);
    auto booking_ticket = simulation.issue(issuer);
    simulation.send(issuer, booking_ticket, "a");
    deliver_all(simulation);
    CHECK(only_answer(simulation, 0) == verdict::success());
    simulation.send(2, booking_ticket, "a");
    deliver_all(simulation);
    CHECK(only_answer(simulation, 1) == verdict::success());
    CHECK(simulation.calls()[1].answers[0].body == "done");
    CHECK(simulation.execution_count() == 1);
}

TEST_CASE("a repeated request waits for the result of the first one")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.send(issuer, booking_ticket, "a");
    deliver_first(simulation, event_kind::booking);
    simulation.send(issuer, booking_ticket, "a");
    deliver_first(simulation, event_kind::booking);
    CHECK(simulation.calls()[1].answers.empty());
    CHECK(simulation.coordinator(issuer).in_flight() == 2);
    deliver_all(simulation);
    CHECK(only_answer(simulation, 0) == verdict::success());
    CHECK(only_answer(simulation, 1) == verdict::success());
    CHECK(simulation.execution_count() == 1);
}

TEST_CASE("a ticket is not used for a second payload")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.send(issuer, booking_ticket, "a");
    simulation.send(issuer, booking_ticket, "b");
    deliver_all(simulation);
    CHECK(
        only_answer(simulation, 1) == verdict::unknown(reason::ticket_reused));
    CHECK(simulation.execution_count() == 1);
}

TEST_CASE("a second payload is answered not_run if the first was not sent")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.coordinator(issuer).start_draining();
    simulation.send(issuer, booking_ticket, "a");
    simulation.send(issuer, booking_ticket, "b");
    deliver_all(simulation);
    CHECK(
        only_answer(simulation, 0) ==
        verdict::refused(reason::instance_leaving));
    CHECK(
        only_answer(simulation, 1) == verdict::refused(reason::ticket_reused));
}

TEST_CASE("after an answer of not_run a ticket never runs")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.send(issuer, booking_ticket, "a");
    deliver_first(simulation, event_kind::booking);
    deliver_first(simulation, event_kind::execute);
    simulation.drop(0);
    deliver_all(simulation);
    CHECK(
        only_answer(simulation, 0) == verdict::refused(reason::connect_failed));
    simulation.send(issuer, booking_ticket, "a");
    deliver_all(simulation);
    CHECK(
        only_answer(simulation, 1) == verdict::refused(reason::connect_failed));
    CHECK(simulation.execution_count() == 0);
}

TEST_CASE("an expired ticket is answered not_run while its record is kept, and "
          "may_have_run after that")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.advance(booking_simulation::ticket_lifetime);
    simulation.send(issuer, booking_ticket, "a");
    deliver_all(simulation);
    CHECK(
        only_answer(simulation, 0) == verdict::refused(reason::ticket_expired));
    simulation.advance(booking_simulation::grace_period);
    simulation.run_timers(issuer);
    CHECK(simulation.coordinator(issuer).ticket_count() == 0);
    simulation.send(issuer, booking_ticket, "a");
    deliver_all(simulation);
    CHECK(
        only_answer(simulation, 1) ==
        verdict::unknown(reason::ticket_forgotten));
}

TEST_CASE("the successor of a process does not execute its tickets")
{
    booking_simulation simulation(3);
    auto booking_ticket = simulation.issue(issuer);
    simulation.crash(issuer);
    deliver_all(simulation);
    for (std::size_t index = 0; index < 3; ++index)
        simulation.send(index, booking_ticket, "a");
    deliver_all(simulation);
    for (std::size_t index = 0; index < 3; ++index)
        CHECK(
            only_answer(simulation, index) ==
            verdict::unknown(reason::issuer_gone));
    CHECK(simulation.execution_count() == 0);
}

TEST_CASE("an owner that was paused beyond the deadline sends nothing")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.send(issuer, booking_ticket, "a");
    deliver_first(simulation, event_kind::booking);
    deliver_first(simulation, event_kind::execute);
    simulation.advance(booking_simulation::request_timeout);
    deliver_first(simulation, event_kind::connect);
    deliver_all(simulation);
    CHECK(
        only_answer(simulation, 0) == verdict::refused(reason::deadline_past));
    CHECK(simulation.execution_count() == 0);
}

TEST_CASE("a lost reply is answered may_have_run, also for repeated requests")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.send(issuer, booking_ticket, "a");
    deliver_first(simulation, event_kind::booking);
    deliver_first(simulation, event_kind::execute);
    deliver_first(simulation, event_kind::connect);
    deliver_first(simulation, event_kind::write);
    deliver_first(simulation, event_kind::backend_reply);
    simulation.drop(0);
    CHECK(only_answer(simulation, 0) == verdict::unknown(reason::reply_lost));
    simulation.send(issuer, booking_ticket, "a");
    deliver_all(simulation);
    CHECK(only_answer(simulation, 1) == verdict::unknown(reason::reply_lost));
    CHECK(simulation.execution_count() == 1);
}

TEST_CASE(
    "a caller is answered at the deadline, and a repeated request gets the "
    "result")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.send(issuer, booking_ticket, "a");
    deliver_first(simulation, event_kind::booking);
    deliver_first(simulation, event_kind::execute);
    deliver_first(simulation, event_kind::connect);
    auto wakeup_time = simulation.coordinator(issuer).next_wakeup();
    simulation.advance(booking_simulation::request_timeout);
    CHECK(wakeup_time < time_point::max());
    simulation.run_timers(issuer);
    CHECK(
        only_answer(simulation, 0) ==
        verdict::unknown(reason::deadline_reached));
    CHECK(simulation.coordinator(issuer).in_flight() == 0);
    deliver_all(simulation);
    simulation.send(issuer, booking_ticket, "a");
    deliver_all(simulation);
    CHECK(only_answer(simulation, 1) == verdict::success());
}

TEST_CASE("an owner does not execute a frame whose record it has removed")
{
    booking_simulation simulation(2);
    auto booking_ticket = simulation.issue(issuer);
    simulation.send(issuer, booking_ticket, "a");
    deliver_first(simulation, event_kind::booking);
    simulation.duplicate(0);
    deliver_first(simulation, event_kind::execute);
    while (simulation.events().size() > 1)
        simulation.deliver(1);
    CHECK(simulation.execution_count() == 1);
    simulation.advance(
        booking_simulation::ticket_lifetime + booking_simulation::grace_period);
    simulation.run_timers(owner);
    CHECK(simulation.executor(owner).record_count() == 0);
    deliver_all(simulation);
    CHECK(simulation.execution_count() == 1);
}

TEST_CASE("the number of tickets is limited, and expired ones make room")
{
    booking_simulation simulation(1);
    for (std::size_t n = 0; n < booking_simulation::max_tickets; ++n)
        simulation.issue(issuer);
    auto issue_result = simulation.coordinator(issuer).issue();
    REQUIRE_FALSE(issue_result);
    CHECK(issue_result.error() == reason::ticket_table_full);
    simulation.advance(
        booking_simulation::ticket_lifetime + booking_simulation::grace_period);
    CHECK(simulation.coordinator(issuer).issue());
}
