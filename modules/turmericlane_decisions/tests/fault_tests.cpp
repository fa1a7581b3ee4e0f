#include "virtual_fleet.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t groups = 4;

virtual_fleet::faults draw_faults(std::mt19937_64& random)
{
    auto up_to = [&random](double most)
    { return std::uniform_real_distribution<>(0.0, most)(random); };
    virtual_fleet::faults drawn;
    drawn.reply_lost = up_to(0.1);
    drawn.reply_doubled = up_to(0.3);
    drawn.reply_late = up_to(0.2);
    drawn.backend_failure = up_to(0.3);
    return drawn;
}

/** Searches, changes of snapshot and bundle, pauses and losses at random. */
void run_faults(virtual_fleet& fleet, const bundle& first)
{
    auto& random = fleet.random;
    auto current = std::make_shared<bundle>(first);
    for (int n = 0; n < 120; ++n)
    {
        auto entry = static_cast<ordinal>(random() % 3);
        auto work = all_ranks[random() % rank_count];
        auto left = std::chrono::milliseconds(random() % 150);
        auto at = fleet.search(entry, work, left, 1 + random() % 2);
        if (random() % 20 == 0 && fleet.records[at].finished == 0)
        {
            fleet.entries[entry]->on_caller_gone(fleet.records[at].id);
            fleet.records[at].caller_gone = true;
        }
        if (random() % 40 == 0)
            ++fleet.newest_snapshot;
        if (random() % 60 == 0)
            fleet.owners[random() % 4]->on_pause_detected();
        if (random() % 30 == 0)
            fleet.owners[random() % 4]->on_server_leaving(
                1 + random() % 12, random() % 2 == 0);
        if (n == 60)
        {
            current = std::make_shared<bundle>(*current);
            ++current->version;
            ++current->services[0].epoch;
            fleet.set_bundle(current);
        }
        if (n == 90)
            fleet.lose_instance(3);
        fleet.run_until(
            fleet.time.now() + std::chrono::microseconds(random() % 12000));
    }
    fleet.run_until(fleet.time.now() + 5s);
}

void check_record(const virtual_fleet& fleet, const virtual_fleet::record& it)
{
    CHECK(it.finished == (it.caller_gone ? 0 : 1));
    if (it.caller_gone)
        return;
    const auto& answer = it.answer;
    auto key = std::pair(it.id.nonce, it.id.counter);
    if (answer.state.result == outcome::not_run)
        CHECK_FALSE(fleet.ran.contains(key));
    std::map<std::uint32_t, std::set<std::string>> from;
    for (const auto& one : answer.hits)
    {
        auto slash = one.document.find('/');
        CHECK(one.document.substr(0, slash) == std::to_string(answer.snapshot));
        auto dot = one.document.find('.');
        auto service = one.document.substr(slash + 1, dot - slash - 1);
        from[static_cast<std::uint32_t>(std::stoul(service))].insert(
            one.document);
    }
    if (answer.state.result != outcome::ran)
        return;
    for (const auto& one : answer.coverage)
    {
        CHECK(one.total == groups);
        CHECK(one.answered == from[one.service].size());
    }
}

} // namespace

TEST_CASE("faults never break the promises of an answer")
{
    // Guards against a query that finishes twice or never, an answer that
    // mixes snapshots or misstates its coverage, a connection window that is
    // exceeded, and a not_run of a query that a server ran.
    std::size_t complete = 0;
    std::size_t total = 0;
    for (std::uint64_t seed = 1; seed <= 250; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto content = make_bundle(groups, {3, 1});
        virtual_fleet fleet(seed, 4, content, draw_faults(random));
        run_faults(fleet, *content);
        for (const auto& it : fleet.records)
        {
            check_record(fleet, it);
            ++total;
            if (it.answer.overall_coverage() == 1.0)
                ++complete;
        }
        CHECK(fleet.window_violations == 0);
        for (std::size_t n = 0; n < 4; ++n)
        {
            CHECK(fleet.owners[n]->waiting_count() == 0);
            CHECK(fleet.entries[n]->in_flight() == 0);
        }
    }
    MESSAGE("complete answers: ", complete, " of ", total);
    // Without answers the checks above would show nothing.
    CHECK(complete > total / 5);
}

TEST_CASE("a lost replica costs no coverage and little load")
{
    // Guards against an owner that goes on using a server that is gone, and
    // against a server that is not used again when it is back.
    virtual_fleet fleet(5, 4, make_bundle(groups, {3}), {});
    auto search_for = [&fleet](duration span)
    {
        auto first = fleet.records.size();
        for (auto end = fleet.time.now() + span; fleet.time.now() < end;)
        {
            auto entry = static_cast<ordinal>(fleet.random() % 4);
            auto work = all_ranks[fleet.random() % rank_count];
            fleet.search(entry, work, 140ms, 1);
            fleet.run_until(fleet.time.now() + 5ms);
        }
        fleet.run_until(fleet.time.now() + 200ms);
        std::size_t incomplete = 0;
        for (auto n = first; n < fleet.records.size(); ++n)
            if (fleet.records[n].answer.overall_coverage() < 1.0)
                ++incomplete;
        return incomplete;
    };
    CHECK(search_for(2s) == 0);
    fleet.dead.insert(1);
    CHECK(search_for(1s) == 0);
    auto before = fleet.received[1];
    CHECK(search_for(10s) == 0);
    CHECK(fleet.received[1] - before < 20);
    fleet.dead.clear();
    CHECK(search_for(20s) == 0);
    before = fleet.received[1];
    CHECK(search_for(3s) == 0);
    CHECK(fleet.received[1] - before > 100);
}
