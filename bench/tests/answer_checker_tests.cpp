// Each check of the answer_checker must be able to fail; otherwise a run
// without violations states nothing.
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
        : pinned_(
              std::make_shared<const bundle>(make_deployment("jamaica").first))
    {
        checker.on_bundle(pinned_, now);
        checker.on_query(1, rank::urgent, now);
        checker.on_query(2, rank::urgent, now);
    }

    /** Lets every group of a query answer, down to the entry. */
    void answer_all_groups(std::uint64_t query)
    {
        search_batch batch;
        batch.query = std::to_string(query);
        for (auto id : services_of(rank::urgent))
            for (const auto& it : pinned_->find_service(id)->groups)
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

    /** The right and complete answer of a query. */
    search_answer right_answer(std::uint64_t query) const
    {
        search_answer made;
        made.caller_request_id = std::to_string(query);
        made.state = verdict::success();
        made.snapshot = 1;
        made.bundle_version = 1;
        for (auto id : services_of(rank::urgent))
        {
            const auto& of = *pinned_->find_service(id);
            auto total = static_cast<std::uint32_t>(of.groups.size());
            made.coverage.push_back({id, total, total});
            for (const auto& it : of.groups)
                made.hits.push_back(
                    {make_document(query, 1, 1, {id, it.partition}), 1.0});
        }
        return made;
    }

    search_answer refusal(std::uint64_t query) const
    {
        search_answer made;
        made.caller_request_id = std::to_string(query);
        made.state = verdict::refused(reason::rank_limit);
        return made;
    }

    std::uint64_t count(violation kind) const
    {
        return checker.violations()[static_cast<std::size_t>(kind)];
    }

    /** True if that kind was counted once and no other. */
    bool only(violation kind) const
    {
        return count(kind) == 1 && checker.total_violations() == 1;
    }

    answer_checker checker{3};
    time_point now{seconds(1)};

private:
    std::shared_ptr<const bundle> pinned_;
};

backend_request request_to(searcher_id server)
{
    backend_request made;
    made.server = server;
    made.query = std::to_string(1);
    return made;
}

} // namespace

TEST_CASE_FIXTURE(checker_fixture, "a right answer is no violation")
{
    answer_all_groups(1);
    checker.on_finish(right_answer(1), now);
    CHECK(checker.total_violations() == 0);
    CHECK(checker.records()[1].coverage == 1.0);
}

TEST_CASE_FIXTURE(checker_fixture, "a right partial answer is no violation")
{
    answer_group(1, {0, 3}, 1, 1);
    auto answer = right_answer(1);
    answer.hits = {{make_document(1, 1, 1, {0, 3}), 1.0}};
    answer.coverage = {{0, 1, 10}, {1, 0, 15}};
    checker.on_finish(answer, now);
    CHECK(checker.total_violations() == 0);
}

TEST_CASE_FIXTURE(checker_fixture, "a hit of another snapshot is found")
{
    answer_all_groups(1);
    checker.on_server_reply(1, {0, 0}, 2, 1);
    auto answer = right_answer(1);
    answer.hits[0].document = make_document(1, 2, 1, {0, 0});
    checker.on_finish(answer, now);
    CHECK(only(violation::mixed_answer));
}

TEST_CASE_FIXTURE(checker_fixture, "a hit of another epoch is found")
{
    answer_all_groups(1);
    checker.on_server_reply(1, {0, 0}, 1, 2);
    auto answer = right_answer(1);
    answer.hits[0].document = make_document(1, 1, 2, {0, 0});
    checker.on_finish(answer, now);
    CHECK(only(violation::mixed_answer));
}

TEST_CASE_FIXTURE(checker_fixture, "coverage that is stated too high is found")
{
    answer_all_groups(1);
    auto answer = right_answer(1);
    answer.hits.pop_back();
    answer.coverage[1].answered_groups = 15;
    checker.on_finish(answer, now);
    CHECK(count(violation::wrong_coverage) > 0);
}

TEST_CASE_FIXTURE(checker_fixture, "coverage that is stated too low is found")
{
    answer_all_groups(1);
    auto answer = right_answer(1);
    answer.coverage[1].answered_groups = 14;
    checker.on_finish(answer, now);
    CHECK(only(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "a reply that was left out is found")
{
    answer_all_groups(1);
    auto answer = right_answer(1);
    answer.hits.pop_back();
    answer.coverage[1].answered_groups = 14;
    checker.on_finish(answer, now);
    CHECK(only(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "a denominator from the replies is found")
{
    answer_all_groups(1);
    auto answer = right_answer(1);
    answer.coverage[1].total_groups = 14;
    checker.on_finish(answer, now);
    CHECK(only(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "a missing service is found")
{
    answer_all_groups(1);
    auto answer = right_answer(1);
    answer.coverage.pop_back();
    checker.on_finish(answer, now);
    CHECK(only(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "an unknown bundle version is found")
{
    answer_all_groups(1);
    auto answer = right_answer(1);
    answer.bundle_version = 7;
    checker.on_finish(answer, now);
    CHECK(only(violation::wrong_coverage));
}

TEST_CASE_FIXTURE(checker_fixture, "a second end of a query is found")
{
    answer_all_groups(1);
    checker.on_finish(right_answer(1), now);
    checker.on_finish(right_answer(1), now);
    CHECK(only(violation::finished_twice));
}

TEST_CASE("a query without an end is found")
{
    answer_checker checker(1);
    checker.on_query(0, rank::urgent, time_point{});
    checker.on_end();
    CHECK(checker.total_violations() == 1);
    CHECK(checker.violations()[3] == 1);
}

TEST_CASE_FIXTURE(checker_fixture, "a hit of another query is found")
{
    answer_all_groups(1);
    answer_all_groups(2);
    auto answer = right_answer(1);
    answer.hits[0].document = make_document(2, 1, 1, {0, 0});
    checker.on_finish(answer, now);
    CHECK(count(violation::foreign_hit) == 1);
}

TEST_CASE_FIXTURE(checker_fixture, "a hit that no server sent is found")
{
    auto answer = right_answer(1);
    checker.on_finish(answer, now);
    CHECK(count(violation::foreign_hit) == 1);
}

TEST_CASE_FIXTURE(checker_fixture, "a hit that occurs twice is found")
{
    answer_all_groups(1);
    auto answer = right_answer(1);
    answer.hits.push_back(answer.hits.front());
    checker.on_finish(answer, now);
    CHECK(only(violation::foreign_hit));
}

TEST_CASE_FIXTURE(checker_fixture, "not_run after a slot is found")
{
    checker.on_slot(1);
    checker.on_finish(refusal(1), now);
    CHECK(only(violation::not_run_reached_slot));
}

TEST_CASE_FIXTURE(checker_fixture, "a slot after not_run is found")
{
    checker.on_finish(refusal(1), now);
    CHECK(checker.total_violations() == 0);
    checker.on_slot(1);
    checker.on_slot(1);
    CHECK(only(violation::not_run_reached_slot));
}

TEST_CASE_FIXTURE(checker_fixture, "a connection beyond the limit is found")
{
    checker.on_connection(30, 30);
    CHECK(checker.total_violations() == 0);
    checker.on_connection(31, 30);
    CHECK(only(violation::connection_limit));
}

TEST_CASE_FIXTURE(checker_fixture, "work for a leaving server is found")
{
    auto next = with_leaving(make_deployment("jamaica").first);
    auto leaving = next.services[0].groups[0].searchers[1];
    REQUIRE(leaving.leaving);
    checker.on_bundle(std::make_shared<const bundle>(next), now);
    checker.on_sub_request(request_to(leaving.id), now + seconds(3));
    CHECK(checker.total_violations() == 0);
    auto late = now + seconds(3) + std::chrono::nanoseconds(1);
    checker.on_sub_request(request_to(leaving.id + 1), late);
    CHECK(checker.total_violations() == 0);
    checker.on_sub_request(request_to(leaving.id), late);
    CHECK(only(violation::leaving_server));
}

TEST_CASE("a document id states its origin, and others are refused")
{
    auto text = make_document(12, 3, 4, {2, 5});
    CHECK(parse_document(text) == document{12, 3, 4, {2, 5}});
    for (auto it : {"", "1.2.3.4", "1.2.3.4.x", "1.2.3.4.5.6", "a.2.3.4.5"})
        CHECK_FALSE(parse_document(it).has_value());
}

} // namespace turmericlane::bench
