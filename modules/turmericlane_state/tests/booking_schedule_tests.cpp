#include "booking_world.h"

#include <doctest/doctest.h>
#include <random>

using namespace turmericlane;
using namespace turmericlane::testing;

namespace
{

constexpr std::size_t node_count = 3;

/** Takes one random step: mostly deliveries in any order, some faults. */
void random_step(
    booking_world& world, std::mt19937_64& random, std::vector<ticket>& tickets)
{
    auto node = random() % node_count;
    auto roll = random() % 100;
    if (roll < 4)
    {
        tickets.push_back(world.issue(node));
        return;
    }
    if (roll < 25 && !tickets.empty())
    {
        bool other_payload = random() % 20 == 0;
        auto& it = tickets[random() % tickets.size()];
        return world.send(node, it, other_payload ? "b" : "a");
    }
    if (roll < 26)
        return world.crash(node);
    if (roll < 28)
        return world.advance(std::chrono::milliseconds(random() % 3000));
    if (roll < 31)
        return world.timers(node);
    if (world.events().empty())
        return;
    auto n = random() % world.events().size();
    if (roll < 36)
        return world.drop(n);
    if (roll < 42 && world.can_double(n))
        return world.double_up(n);
    world.deliver(n);
}

/** Delivers what is left, then lets all records grow old. */
void finish(booking_world& world)
{
    while (!world.events().empty())
        world.deliver(0);
    world.advance(booking_world::ticket_lifetime + booking_world::grace);
    for (std::size_t node = 0; node < node_count; ++node)
        world.timers(node);
    while (!world.events().empty())
        world.deliver(0);
}

} // namespace

TEST_CASE("no schedule with loss, doubles, crashes and pauses breaks a promise")
{
    std::size_t calls = 0;
    std::size_t ran = 0;
    std::size_t not_run = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        booking_world world(node_count);
        std::vector<ticket> tickets;
        for (int n = 0; n < 300; ++n)
        {
            random_step(world, random, tickets);
            REQUIRE(world.violation() == "");
        }
        finish(world);
        REQUIRE(world.violation() == "");
        for (std::size_t node = 0; node < node_count; ++node)
        {
            CHECK(world.coordinator(node).in_flight() == 0);
            CHECK(world.coordinator(node).tickets() == 0);
            CHECK(world.executor(node).in_flight() == 0);
        }
        for (const auto& it : world.calls())
        {
            ++calls;
            for (const auto& answer : it.answers)
            {
                ran += answer.state.result == outcome::ran ? 1 : 0;
                not_run += answer.state.result == outcome::not_run ? 1 : 0;
            }
        }
    }
    MESSAGE(
        "seeds 1 to 400: " << calls << " calls, " << ran << " ran, " << not_run
                           << " not run");
    CHECK(ran > 1000);
    CHECK(not_run > 100);
}
