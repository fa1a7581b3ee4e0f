#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

std::string record(char fill)
{
    return std::string(record_bytes, fill);
}

constexpr answer_limits limits{0.89, 100ms, 1000ms};

gather_decision decide_at(
    std::size_t parts_arrived, std::size_t parts_failed, duration elapsed_time)
{
    return decide_gather(
        {10, parts_arrived, parts_failed, elapsed_time}, limits);
}

} // namespace

TEST_CASE("the greatest records come first, and duplicates are kept")
{
    const auto first = record('b') + record('d') + record('b');
    const auto second = record('\xff') + record('a') + "short";
    const std::vector<std::string_view> parts = {first, second};
    CHECK(
        merge_records(parts, 4) ==
        record('\xff') + record('d') + record('b') + record('b'));
    CHECK(merge_records(parts, 100).size() == 5 * record_bytes);
    CHECK(merge_records({}, 3).empty());
}

// Guards against a late complete answer where an incomplete one in time serves
// the caller better, and against an answer below the minimum coverage.
TEST_CASE("an incomplete answer is sent in time")
{
    CHECK(decide_at(9, 0, 50ms) == gather_decision::wait);
    CHECK(decide_at(9, 0, 100ms) == gather_decision::answer);
    CHECK(decide_at(8, 0, 100ms) == gather_decision::wait);
    CHECK(decide_at(10, 0, 1ms) == gather_decision::answer);
}

TEST_CASE("after the target, a request waits for all parts for a limited time")
{
    CHECK(decide_at(9, 0, 150ms) == gather_decision::wait);
    CHECK(decide_at(9, 0, 200ms) == gather_decision::answer);
}

// Guards against keeping a request that can no longer be answered.
TEST_CASE("a gather fails as soon as too few parts can arrive")
{
    CHECK(decide_at(0, 2, 1ms) == gather_decision::fail);
    CHECK(decide_at(5, 1, 1ms) == gather_decision::wait);
    CHECK(decide_at(9, 1, 1ms) == gather_decision::answer);
    CHECK(decide_at(8, 0, 1000ms) == gather_decision::fail);
    CHECK(decide_at(0, 10, 1ms) == gather_decision::fail);
}

TEST_CASE("a refusal depends on rank and waiting work")
{
    const admission_control admission;
    route urgent;
    urgent.target_latency = 50ms;
    route archive;
    archive.target_latency = 50ms;
    archive.rank = 2;
    instance_load load;
    CHECK(admission.retry_after(urgent, load) == duration::zero());
    load.queue_wait = 25ms;
    CHECK(admission.retry_after(urgent, load) == duration::zero());
    CHECK(admission.retry_after(archive, load) > duration::zero());
    load.lag = 100ms;
    CHECK(admission.retry_after(urgent, load) >= 100ms);
}
