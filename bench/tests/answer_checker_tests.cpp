// Every check of answer_checker must be able to fail; otherwise a run without
// violations would prove nothing.
#include "../check/answer_checker.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

using std::chrono::seconds;

class checker_fixture
{
public:
    checker_fixture()
        : configuration_(std::make_shared<const bundle>(
              make_deployment("jamaica").initial_bundle))
    {
        checker.on_bundle(configuration_, start_time);
        checker.on_query(1, rank::urgent, start_time);
        checker.on_query(2, rank::urgent, start_time);
    }

    /** Simulates a reply of every group of a query that reaches the entry. */
    void answer_all_groups(std::uint64_t query)
    {
        search_batch batch;
        batch.query = std::to_string(query);
        for (auto id : services_for_rank(rank::urgent))
            for (const auto& it : configuration_->find_service(id)->groups)
                batch.parts.push_back({{id, it.partition}, 1});
        checker.on_batch(batch);
        for (const auto& it : batch.parts)
            answer_group(query, it.group, 1, 1);
    }

    void answer_group(
        std::uint64_t query,
        group_id id,
        std::uint64_t snapshot,
        std::uint64_t epoch)
    {
        checker.on_slot(query);
        checker.on_server_reply(query, id, snapshot, epoch);
        shard_reply reply;
        reply.group = id;
        reply.state = verdict::success();
        reply.snapshot = snapshot;
        reply.epoch = epoch;
        checker.on_entry_reply(query, reply);
    }

    /** Returns the correct and complete answer to a query. */
    search_answer make_complete_answer(std::uint64_t query) const
    {
        search_answer result;
        result.caller_request_id = std::to_string(query);
        result.state = verdict::success();
        result.snapshot = 1;
        result.bundle_version = 1;
        for (auto id : services_for_rank(rank::urgent))
        {
            const auto& service = *configuration_->find_service(id);
            auto total = static_cast<std::uint32_t>(service.groups.size());
            result.coverage.push_back({id, total, total});
            for (const auto& it : service.groups)
                result.hits.push_back(
                    {make_document(query, 1, 1, {id, it.partition}), 1.0});
        }
        return result;
    }

    search_answer make_refusal(std::uint64_t query) const
    {
        search_answer result;
        result.caller_request_id = std::to_string(query);
        result.state = verdict::refused(reason::rank_limit);
        return result;
    }

    std::uint64_t violations_of_kind(violation kind) const
    {
        return checker.violations()[static_cast<std::size_t>(kind)];
    }

    /** True if this is the only violation that was counted. */
    bool is_only_violation(violation kind) const
    {
        return violations_of_kind(kind) == 1 && checker.total_violations() == 1;
    }

    answer_checker checker{3};
    time_point start_time{seconds(1)};

private:
    std::shared_ptr<const bundle> configuration_;
};

backend_request make_request_for(searcher_id server)
{
    backend_request result;
    result.server = server;
    result.query = std::to_string(1);
    return result;
}

} // namespace

TEST_CASE_FIXTURE(checker_fixture, "a correct answer is no violation")
{
    answer_all_groups(1);
    checker.on_finish(make_complete_answer(1), start_time);
    CHECK(checker.total_violations() == 0);
    CHECK(checker.records()[1].coverage == 1.0);
}

TEST_CASE_FIXTURE(checker_fixture, "a correct partial answer is no violation")
{
    answer_group(1, {0, 3}, 1, 1);
    auto answer = make_complete_answer(1);
    answer.hits = {{make_document(1, 1, 1, {0, 3}), 1.0}};
    answer.coverage = {{0, 1, 10}, {1, 0, 15}};
    checker.on_finish(answer, start_time);
    CHECK(checker.total_violations() == 0);
}

TEST_CASE_FIXTURE(checker_fixture, "a hit of another snapshot is detected")
{
    answer_all_groups(1);
    checker.on_server_reply(1, {0, 0}, 2, 1);
    auto answer = make_complete_answer(1);
    answer.hits[0].document = make_document(1, 2, 1, {0, 0});
    checker.on_finish(answer, start_time);
    CHECK(is_only_violation(violation::mixed_answer));
}

TEST_CASE_FIXTURE(checker_fixture, "a hit of another epoch is detected")
{
    answer_all_groups(1);
    checker.on_server_reply(1, {0, 0}, 1, 2);
    auto answer = make_complete_answer(1);
    answer.hits[0].document = make_document(1, 1, 2, {0, 0});
    checker.on_finish(answer, start_time);
    CHECK(is_only_violation(violation::mixed_answer));
}

TEST_CASE_FIXTURE(
    checker_fixture, "coverage that is stated too high is detected")
{
    answer_all_groups(1);
    auto answer = make_complete_answer(1);
    answer.hits.pop_back();
    answer.coverage[1].answered_groups = 15;
    checker.on_finish(answer, start_time);
    CHECK(violations_of_kind(violation::wrong_coverage) > 0);
}

TEST_CASE_FIXTURE(
    checker_fixture, "coverage that is stated too low is detected")
{
    answer_all_groups(1);
    auto answer = make_complete_answer(1);
    answer.coverage[1].answered_groups = 14;
    checker.on_finish(answer, start_time);
    CHECK(is_only_violation(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "an omitted reply is detected")
{
    answer_all_groups(1);
    auto answer = make_complete_answer(1);
    answer.hits.pop_back();
    answer.coverage[1].answered_groups = 14;
    checker.on_finish(answer, start_time);
    CHECK(is_only_violation(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(
    checker_fixture,
    "a total of groups that counts only the replies is detected")
{
    answer_all_groups(1);
    auto answer = make_complete_answer(1);
    answer.coverage[1].total_groups = 14;
    checker.on_finish(answer, start_time);
    CHECK(is_only_violation(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "a missing service is detected")
{
    answer_all_groups(1);
    auto answer = make_complete_answer(1);
    answer.coverage.pop_back();
    checker.on_finish(answer, start_time);
    CHECK(is_only_violation(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "an unknown bundle version is detected")
{
    answer_all_groups(1);
    auto answer = make_complete_answer(1);
    answer.bundle_version = 7;
    checker.on_finish(answer, start_time);
    CHECK(is_only_violation(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "a second answer to a query is detected")
{
    answer_all_groups(1);
    checker.on_finish(make_complete_answer(1), start_time);
    checker.on_finish(make_complete_answer(1), start_time);
    CHECK(is_only_violation(violation::finished_twice));
}

TEST_CASE("an unanswered query is detected")
{
    answer_checker checker(1);
    checker.on_query(0, rank::urgent, time_point{});
    checker.on_end();
    CHECK(checker.total_violations() == 1);
    CHECK(checker.violations()[3] == 1);
}

TEST_CASE_FIXTURE(checker_fixture, "a hit of another query is detected")
{
    answer_all_groups(1);
    answer_all_groups(2);
    auto answer = make_complete_answer(1);
    answer.hits[0].document = make_document(2, 1, 1, {0, 0});
    checker.on_finish(answer, start_time);
    CHECK(violations_of_kind(violation::foreign_hit) == 1);
}

TEST_CASE_FIXTURE(checker_fixture, "a hit that no server sent is detected")
{
    auto answer = make_complete_answer(1);
    checker.on_finish(answer, start_time);
    CHECK(violations_of_kind(violation::foreign_hit) == 1);
}

TEST_CASE_FIXTURE(checker_fixture, "a repeated hit is detected")
{
    answer_all_groups(1);
    auto answer = make_complete_answer(1);
    answer.hits.push_back(answer.hits.front());
    checker.on_finish(answer, start_time);
    CHECK(is_only_violation(violation::foreign_hit));
}

TEST_CASE_FIXTURE(
    checker_fixture, "not_run after the use of a slot is detected")
{
    checker.on_slot(1);
    checker.on_finish(make_refusal(1), start_time);
    CHECK(is_only_violation(violation::not_run_reached_slot));
}

TEST_CASE_FIXTURE(checker_fixture, "use of a slot after not_run is detected")
{
    checker.on_finish(make_refusal(1), start_time);
    CHECK(checker.total_violations() == 0);
    checker.on_slot(1);
    checker.on_slot(1);
    CHECK(is_only_violation(violation::not_run_reached_slot));
}

TEST_CASE_FIXTURE(checker_fixture, "a connection above the limit is detected")
{
    checker.on_connection(30, 30);
    CHECK(checker.total_violations() == 0);
    checker.on_connection(31, 30);
    CHECK(is_only_violation(violation::connection_limit));
}

TEST_CASE_FIXTURE(checker_fixture, "a request to a leaving server is detected")
{
    auto next_bundle =
        make_leaving_version(make_deployment("jamaica").initial_bundle);
    auto leaving = next_bundle.services[0].groups[0].searchers[1];
    REQUIRE(leaving.leaving);
    checker.on_bundle(std::make_shared<const bundle>(next_bundle), start_time);
    checker.on_sub_request(
        make_request_for(leaving.id), start_time + seconds(3));
    CHECK(checker.total_violations() == 0);
    auto late_time = start_time + seconds(3) + std::chrono::nanoseconds(1);
    checker.on_sub_request(make_request_for(leaving.id + 1), late_time);
    CHECK(checker.total_violations() == 0);
    checker.on_sub_request(make_request_for(leaving.id), late_time);
    CHECK(is_only_violation(violation::leaving_server));
}

TEST_CASE("a document id states its origin, and others are rejected")
{
    auto text = make_document(12, 3, 4, {2, 5});
    CHECK(parse_document(text) == document{12, 3, 4, {2, 5}});
    for (auto it : {"", "1.2.3.4", "1.2.3.4.x", "1.2.3.4.5.6", "a.2.3.4.5"})
        CHECK_FALSE(parse_document(it).has_value());
}

} // namespace turmericlane::bench
