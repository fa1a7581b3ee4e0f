#include "booking_simulation.h"

#include <doctest/doctest.h>
#include <random>

using namespace turmericlane;
using namespace turmericlane::testing;

namespace
{

constexpr std::size_t simulated_instance_count = 3;

/** Takes one random step: mostly deliveries in random order, some faults. */
void take_random_step(
    booking_simulation& simulation,
    std::mt19937_64& random,
    std::vector<ticket>& tickets)
{
    auto index = random() % simulated_instance_count;
    auto choice = random() % 100;
    if (choice < 4)
    {
        tickets.push_back(simulation.issue(index));
        return;
    }
    if (choice < 25 && !tickets.empty())
    {
        bool has_other_payload = random() % 20 == 0;
        auto& it = tickets[random() % tickets.size()];
        return simulation.send(index, it, has_other_payload ? "b" : "a");
    }
    if (choice < 26)
        return simulation.crash(index);
    if (choice < 28)
        return simulation.advance(std::chrono::milliseconds(random() % 3000));
    if (choice < 31)
        return simulation.run_timers(index);
    if (simulation.events().empty())
        return;
    auto position = random() % simulation.events().size();
    if (choice < 36)
        return simulation.drop(position);
    if (choice < 42 && simulation.can_duplicate(position))
        return simulation.duplicate(position);
    simulation.deliver(position);
}

/** Delivers all events, then lets all records expire. */
void drain(booking_simulation& simulation)
{
    while (!simulation.events().empty())
        simulation.deliver(0);
    simulation.advance(
        booking_simulation::ticket_lifetime + booking_simulation::grace_period);
    for (std::size_t index = 0; index < simulated_instance_count; ++index)
        simulation.run_timers(index);
    while (!simulation.events().empty())
        simulation.deliver(0);
}

} // namespace

TEST_CASE("no schedule with lost and duplicate messages, crashes and pauses "
          "violates a guarantee")
{
    std::size_t call_count = 0;
    std::size_t ran_count = 0;
    std::size_t not_run_count = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        booking_simulation simulation(simulated_instance_count);
        std::vector<ticket> tickets;
        for (int n = 0; n < 300; ++n)
        {
            take_random_step(simulation, random, tickets);
            REQUIRE(simulation.violation() == "");
        }
        drain(simulation);
        REQUIRE(simulation.violation() == "");
        for (std::size_t index = 0; index < simulated_instance_count; ++index)
        {
            CHECK(simulation.coordinator(index).in_flight() == 0);
            CHECK(simulation.coordinator(index).ticket_count() == 0);
            CHECK(simulation.executor(index).in_flight() == 0);
        }
        for (const auto& it : simulation.calls())
        {
            ++call_count;
            for (const auto& answer : it.answers)
            {
                ran_count +=
                    answer.final_verdict.result == outcome::ran ? 1 : 0;
                not_run_count +=
                    answer.final_verdict.result == outcome::not_run ? 1 : 0;
            }
        }
    }
    MESSAGE(
        "seeds 1 to 400: " << call_count << " calls, " << ran_count << " ran, "
                           << not_run_count << " not run");
    CHECK(ran_count > 1000);
    CHECK(not_run_count > 100);
}
