#include "virtual_fleet.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t group_count = 4;

virtual_fleet::faults draw_faults(std::mt19937_64& random)
{
    auto draw_rate = [&random](double max_rate)
    { return std::uniform_real_distribution<>(0.0, max_rate)(random); };
    virtual_fleet::faults result;
    result.reply_loss_rate = draw_rate(0.1);
    result.reply_duplication_rate = draw_rate(0.3);
    result.late_reply_rate = draw_rate(0.2);
    result.backend_failure_rate = draw_rate(0.3);
    return result;
}

/** Runs 120 searches. At random, callers go away, snapshots change, owners
    pause and searchers leave; the bundle changes once, and one instance is
    disconnected. */
void run_faults(virtual_fleet& fleet, const bundle& initial_bundle)
{
    auto& random = fleet.random;
    auto current = std::make_shared<bundle>(initial_bundle);
    for (int n = 0; n < 120; ++n)
    {
        auto entry = static_cast<ordinal>(random() % 3);
        auto request_rank = all_ranks[random() % rank_count];
        auto time_left = std::chrono::milliseconds(random() % 150);
        auto index =
            fleet.search(entry, request_rank, time_left, 1 + random() % 2);
        if (random() % 20 == 0 && fleet.records[index].finish_count == 0)
        {
            fleet.entries[entry]->on_caller_gone(fleet.records[index].id);
            fleet.records[index].is_caller_gone = true;
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
            fleet.disconnect_instance(3);
        fleet.run_until(
            fleet.time_source.now() +
            std::chrono::microseconds(random() % 12000));
    }
    fleet.run_until(fleet.time_source.now() + 5s);
}

void check_record(
    const virtual_fleet& fleet, const virtual_fleet::record& record)
{
    CHECK(record.finish_count == (record.is_caller_gone ? 0 : 1));
    if (record.is_caller_gone)
        return;
    const auto& answer = record.answer;
    auto key = std::pair(record.id.nonce, record.id.counter);
    if (answer.state.result == outcome::not_run)
        CHECK_FALSE(fleet.executed_queries.contains(key));
    std::map<std::uint32_t, std::set<std::string>> documents;
    for (const auto& it : answer.hits)
    {
        auto slash = it.document.find('/');
        CHECK(it.document.substr(0, slash) == std::to_string(answer.snapshot));
        auto dot = it.document.find('.');
        auto service = it.document.substr(slash + 1, dot - slash - 1);
        documents[static_cast<std::uint32_t>(std::stoul(service))].insert(
            it.document);
    }
    if (answer.state.result != outcome::ran)
        return;
    for (const auto& it : answer.coverage)
    {
        CHECK(it.total_groups == group_count);
        CHECK(it.answered_groups == documents[it.service].size());
    }
}

} // namespace

TEST_CASE("answers are correct under random faults")
{
    // Guards against queries that finish twice or never, answers that mix
    // snapshots or state a wrong coverage, attempts beyond a connection window,
    // and not_run for a query that a server ran.
    std::size_t complete_answers = 0;
    std::size_t searches = 0;
    for (std::uint64_t seed = 1; seed <= 250; ++seed)
    {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto content = make_bundle(group_count, {3, 1});
        virtual_fleet fleet(seed, 4, content, draw_faults(random));
        run_faults(fleet, *content);
        for (const auto& it : fleet.records)
        {
            check_record(fleet, it);
            ++searches;
            if (it.answer.overall_coverage() == 1.0)
                ++complete_answers;
        }
        CHECK(fleet.window_violations == 0);
        for (std::size_t n = 0; n < 4; ++n)
        {
            CHECK(fleet.owners[n]->waiting_count() == 0);
            CHECK(fleet.entries[n]->in_flight() == 0);
        }
    }
    MESSAGE("complete answers: ", complete_answers, " of ", searches);
    // The checks above would also pass without any complete answer.
    CHECK(complete_answers > searches / 5);
}

TEST_CASE("a lost replica costs no coverage and gets few attempts")
{
    // Guards against an owner that goes on using an unreachable server, and
    // against a server that is not used again when it is back.
    virtual_fleet fleet(5, 4, make_bundle(group_count, {3}), {});
    auto count_incomplete = [&fleet](duration length)
    {
        auto first_index = fleet.records.size();
        for (auto end = fleet.time_source.now() + length;
             fleet.time_source.now() < end;)
        {
            auto entry = static_cast<ordinal>(fleet.random() % 4);
            auto request_rank = all_ranks[fleet.random() % rank_count];
            fleet.search(entry, request_rank, 140ms, 1);
            fleet.run_until(fleet.time_source.now() + 5ms);
        }
        fleet.run_until(fleet.time_source.now() + 200ms);
        std::size_t result = 0;
        for (auto n = first_index; n < fleet.records.size(); ++n)
            if (fleet.records[n].answer.overall_coverage() < 1.0)
                ++result;
        return result;
    };
    CHECK(count_incomplete(2s) == 0);
    fleet.unreachable_servers.insert(1);
    CHECK(count_incomplete(1s) == 0);
    auto count_before = fleet.request_counts[1];
    CHECK(count_incomplete(10s) == 0);
    CHECK(fleet.request_counts[1] - count_before < 20);
    fleet.unreachable_servers.clear();
    CHECK(count_incomplete(20s) == 0);
    count_before = fleet.request_counts[1];
    CHECK(count_incomplete(3s) == 0);
    CHECK(fleet.request_counts[1] - count_before > 100);
}
