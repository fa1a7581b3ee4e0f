#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

#include <cmath>
#include <set>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t urgent = 0;
constexpr std::uint32_t archive = 2;
const time_point start = time_point(1h);

/** Starts sub-requests one after the other while ranks wait.
    @returns the number of those of the archive rank */
int count_archive_starts(
    service_room& room, const std::vector<std::uint32_t>& waiting, int starts)
{
    int result = 0;
    for (int i = 0; i < starts; ++i)
    {
        const auto rank = room.next_rank(waiting, start);
        result += rank == archive ? 1 : 0;
        room.on_started(rank, start);
    }
    return result;
}

/** Returns room that both ranks have asked for equally. */
service_room make_asked_room()
{
    service_room room;
    for (int i = 0; i < 100; ++i)
    {
        room.on_asked(urgent, start);
        room.on_asked(archive, start);
    }
    return room;
}

} // namespace

// Guards against a rank that gets nothing while a more urgent one waits.
TEST_CASE("a rank that waits gets its minimum share of the room")
{
    auto room = make_asked_room();
    const auto starts = count_archive_starts(room, {urgent, archive}, 1000);
    const auto shares = room.shares(start);
    REQUIRE(shares.size() == 2);
    CHECK(shares[1].minimum > 0.1);
    CHECK(starts == doctest::Approx(shares[1].minimum * 1000).epsilon(0.02));
}

// Guards against room that is kept free for a rank which does not use it, and
// against a rank that pays later for the room that it was lent.
TEST_CASE("unused room is lent at once and called back at once")
{
    auto room = make_asked_room();
    CHECK(count_archive_starts(room, {archive}, 500) == 500);
    CHECK(count_archive_starts(room, {urgent}, 500) == 0);
    // The urgent rank gets its room back with the first free place.
    CHECK(room.next_rank(std::vector{urgent, archive}, start) == urgent);
    // The archive rank has no claim to what it left, nor a debt.
    const auto minimum = room.shares(start)[1].minimum;
    const auto starts = count_archive_starts(room, {urgent, archive}, 100);
    CHECK(std::abs(starts - minimum * 100) <= 2.0);
}

// Guards against a rank that is served more often than a more urgent one.
TEST_CASE("a rank yields while a more urgent one is served less often")
{
    auto room = make_asked_room();
    for (int i = 0; i < 50; ++i)
        room.on_admitted(archive, start);
    for (int i = 0; i < 40; ++i)
        room.on_admitted(urgent, start);
    CHECK(room.is_ahead_of_more_urgent(archive, start));
    CHECK_FALSE(room.is_ahead_of_more_urgent(urgent, start));
    for (int i = 0; i < 10; ++i)
        room.on_admitted(urgent, start);
    CHECK_FALSE(room.is_ahead_of_more_urgent(archive, start));
}

// Guards against instances that tell one caller different times, and against
// callers that all come back at the same time.
TEST_CASE("times of return are spread and depend on the id of the request")
{
    promised_returns first;
    promised_returns second;
    std::set<std::int64_t> slices;
    for (int i = 0; i < 100; ++i)
    {
        const auto label = "id" + std::to_string(i);
        const auto time = first.promise(label, "r", 100ms, 600ms, 1e6, start);
        CHECK(time == second.promise(label, "r", 100ms, 600ms, 1e6, start));
        CHECK(time >= 100ms);
        CHECK(time <= 600ms);
        slices.insert(time / 100ms);
    }
    CHECK(slices.size() >= 5);
}

// Guards against promises for which there is no room, and against a caller
// that gains by retrying at once.
TEST_CASE("room is promised to as many callers as will find it")
{
    promised_returns returns;
    int promised = 0;
    for (int i = 0; i < 500; ++i)
    {
        const auto label = "id" + std::to_string(i);
        promised +=
            returns.promise(label, "r", 0ms, 500ms, 100.0, start) <= 500ms;
    }
    CHECK(promised >= 45);
    CHECK(promised <= 60);
    CHECK(returns.expected("r", start + 500ms, start) > 30.0);
    const auto due_time = returns.promise("id0", "r", 0ms, 500ms, 100.0, start);
    using arrival = promised_returns::arrival;
    CHECK(returns.classify("new", start) == arrival::first);
    CHECK(returns.classify("id0", start) == arrival::early);
    CHECK(returns.classify("id0", start + due_time) == arrival::due);
    returns.on_admitted("id0");
    CHECK(returns.classify("id0", start + due_time) == arrival::first);
}

// Guards against a queue that refuses the oldest requests, or those that have
// waited too long to be refused.
TEST_CASE("the newest that cannot meet their target are dropped")
{
    manual_clock time;
    waiting_work work;
    room_control control(time, work);
    const auto now = time.now();
    for (request_handle i = 0; i < 10; ++i)
        work.add("s", urgent, {i, 0, now + 45ms, now + 25ms});
    // At 100 a second, the last five start 50 ms from now or later.
    const auto dropped = control.find_unservable("s", urgent, 100.0);
    REQUIRE(dropped.size() == 5);
    CHECK(dropped.front().request == 9);
    CHECK(dropped.back().request == 5);
    time.advance(26ms);
    CHECK(control.find_unservable("s", urgent, 100.0).empty());
}
