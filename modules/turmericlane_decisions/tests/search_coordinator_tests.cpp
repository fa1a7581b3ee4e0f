#include "recording_actions.h"
#include "virtual_fleet.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** A coordinator that records its actions, with two services of three groups
    each. */
struct entry_fixture
{
    manual_clock time_source;
    recording_actions actions;
    std::shared_ptr<bundle> content = make_bundle(3, {3, 1});
    search_coordinator coordinator{0,       77,      time_source,
                                   actions, actions, &actions};

    entry_fixture()
    {
        coordinator.on_bundle(content);
    }

    query_id start_search(
        duration time_left = 100ms,
        rank request_rank = rank::urgent,
        std::vector<std::uint32_t> services = {0})
    {
        search_request request;
        request.caller_request_id = "caller";
        request.services = std::move(services);
        request.request_rank = request_rank;
        request.deadline = time_source.now() + time_left;
        return coordinator.on_search(request);
    }

    static shard_reply make_reply(
        const search_batch& batch,
        std::size_t part_index,
        std::uint64_t snapshot = 5)
    {
        shard_reply reply;
        reply.id = batch.id;
        reply.attempt = batch.attempt;
        reply.group = batch.parts[part_index].group;
        reply.state = verdict::success();
        reply.snapshot = snapshot;
        reply.epoch = batch.parts[part_index].epoch;
        reply.served_snapshots = {snapshot, snapshot};
        reply.sub_requests_sent = 1;
        reply.hits = {{"d" + std::to_string(reply.group.partition), 1.0}};
        return reply;
    }

    /** Answers all sub-requests that were sent, except those of some
        partitions. */
    void answer_all(const std::set<std::uint32_t>& excluded_partitions = {})
    {
        auto batches = std::move(actions.batches);
        actions.batches.clear();
        for (const auto& it : batches)
            for (std::size_t n = 0; n < it.second.parts.size(); ++n)
                if (!excluded_partitions.contains(
                        it.second.parts[n].group.partition))
                    coordinator.on_shard_reply(make_reply(it.second, n));
    }

    /** Replies with that verdict to all sub-requests that were sent. */
    void refuse_all(verdict reply_verdict)
    {
        auto batches = std::move(actions.batches);
        actions.batches.clear();
        for (const auto& it : batches)
            for (std::size_t n = 0; n < it.second.parts.size(); ++n)
            {
                auto reply = make_reply(it.second, n);
                reply.state = reply_verdict;
                coordinator.on_shard_reply(reply);
            }
    }

    void run_for(duration length)
    {
        auto end = time_source.now() + length;
        while (coordinator.next_wakeup() <= end)
        {
            time_source.advance_to(
                std::max(time_source.now(), coordinator.next_wakeup()));
            coordinator.on_timer();
        }
        time_source.advance_to(end);
    }

    const search_answer& only_answer() const
    {
        REQUIRE(actions.answers.size() == 1);
        return actions.answers[0];
    }
};

} // namespace

TEST_CASE_FIXTURE(entry_fixture, "a query is answered when all groups replied")
{
    // Guards against waiting for the deadline, and against a wrong total in the
    // coverage.
    auto id = start_search();
    answer_all();
    CHECK(only_answer().id == id);
    CHECK(only_answer().caller_request_id == "caller");
    CHECK(only_answer().state == verdict::success());
    CHECK(only_answer().overall_coverage() == 1.0);
    CHECK(only_answer().hits.size() == 3);
    CHECK(only_answer().missing_reason == reason::none);
    CHECK(coordinator.in_flight() == 0);
    CHECK(coordinator.next_wakeup() == time_point::max());
}

TEST_CASE_FIXTURE(
    entry_fixture, "late, duplicate and unmatched replies are dropped")
{
    // Guards against merging a reply twice or into another query.
    start_search();
    auto batch = actions.batches[0].second;
    auto reply = make_reply(batch, 0);
    coordinator.on_shard_reply(reply);
    coordinator.on_shard_reply(reply);
    CHECK(actions.refusals[reason::duplicate_reply] == 1);
    auto reply_of_other_instance = reply;
    reply_of_other_instance.id.nonce = 78;
    coordinator.on_shard_reply(reply_of_other_instance);
    auto reply_of_later_attempt = reply;
    reply_of_later_attempt.attempt = 9;
    coordinator.on_shard_reply(reply_of_later_attempt);
    auto reply_of_other_group = reply;
    reply_of_other_group.group = {1, 0};
    coordinator.on_shard_reply(reply_of_other_group);
    CHECK(actions.refusals[reason::unmatched_reply] == 3);
    run_for(200ms);
    CHECK(only_answer().hits.size() == 1);
    coordinator.on_shard_reply(reply);
    CHECK(actions.refusals[reason::late_reply] == 1);
    CHECK(actions.answers.size() == 1);
}

TEST_CASE_FIXTURE(entry_fixture, "a partial answer is returned at the deadline")
{
    // Guards against a partial answer that looks complete.
    start_search();
    answer_all({1});
    run_for(100ms);
    CHECK(only_answer().state == verdict::success());
    CHECK(only_answer().coverage[0].answered_groups == 2);
    CHECK(only_answer().coverage[0].total_groups == 3);
    CHECK(only_answer().missing_reason == reason::deadline_reached);
    CHECK_FALSE(actions.cancelled_owners.empty());
}

TEST_CASE_FIXTURE(
    entry_fixture, "too little coverage at the deadline gives no answer")
{
    // Guards against offering a hut that is taken, because the answer lacks the
    // groups that know about it.
    content->policy.min_coverage = 0.9;
    start_search();
    answer_all({1});
    run_for(100ms);
    CHECK(only_answer().state == verdict::unknown(reason::deadline_reached));
    CHECK(only_answer().hits.empty());
    CHECK(only_answer().coverage[0].answered_groups == 2);
}

TEST_CASE_FIXTURE(entry_fixture, "a query without any reply may have run")
{
    // Guards against not_run for a request that was sent.
    start_search();
    run_for(100ms);
    CHECK(only_answer().state == verdict::unknown(reason::deadline_reached));
}

TEST_CASE_FIXTURE(
    entry_fixture, "a query is refused if all its sub-requests are")
{
    // Guards against may_have_run for a query that is safe to repeat, and
    // against not_run after an attempt that may have run.
    start_search();
    refuse_all(verdict::refused(reason::queue_full));
    CHECK(only_answer().state == verdict::refused(reason::queue_full));
    start_search();
    refuse_all(verdict::unknown(reason::connection_lost));
    CHECK(
        actions.answers[1].state == verdict::unknown(reason::connection_lost));
}

TEST_CASE_FIXTURE(
    entry_fixture, "bad requests are refused before anything is sent")
{
    // Guards against load from requests that can't be answered.
    start_search(0ms);
    start_search(100ms, rank::urgent, {9});
    REQUIRE(actions.answers.size() == 2);
    CHECK(actions.answers[0].state == verdict::refused(reason::deadline_past));
    CHECK(
        actions.answers[1].state == verdict::refused(reason::unknown_service));
    start_search(50ms);
    time_source.advance(10ms);
    answer_all();
    start_search(5ms);
    CHECK(
        actions.answers[3].state ==
        verdict::refused(reason::deadline_too_short));
    CHECK(actions.batches.empty());
}

TEST_CASE_FIXTURE(entry_fixture, "the rank limit refuses that rank only")
{
    // Guards against an overload of archive queries that stops other ranks.
    std::size_t batch_count = 0;
    while (actions.answers.empty())
    {
        batch_count = actions.batches.size();
        start_search(1s, rank::archive);
    }
    CHECK(only_answer().state == verdict::refused(reason::rank_limit));
    CHECK(actions.batches.size() == batch_count);
    start_search(1s, rank::urgent);
    CHECK(actions.batches.size() > batch_count);
}

TEST_CASE_FIXTURE(entry_fixture, "long queues lower the rank limit")
{
    // Guards against an entry that goes on sending into full queues, and
    // against a limit that falls because of a single slow group.
    auto initial_limit = coordinator.rank_limit(rank::urgent);
    start_search(100ms, rank::urgent, {0, 1});
    auto batches = actions.batches;
    std::size_t reply_count = 0;
    for (const auto& it : batches)
        for (std::size_t n = 0; n < it.second.parts.size() && reply_count < 2;
             ++n)
        {
            auto reply = make_reply(it.second, n);
            reply.queue_delay = 60ms;
            coordinator.on_shard_reply(reply);
            if (++reply_count == 1)
                CHECK(coordinator.rank_limit(rank::urgent) == initial_limit);
        }
    CHECK(coordinator.rank_limit(rank::urgent) < initial_limit);
}

TEST_CASE_FIXTURE(entry_fixture, "the first usable candidate is asked")
{
    // Guards against several owners of one group among entries that agree about
    // which instances are live.
    owner_map owners(*content);
    actions.unusable.insert(owners.candidates({0, 0})[0]);
    start_search();
    for (const auto& it : actions.batches)
        for (const auto& part : it.second.parts)
        {
            auto candidates = owners.candidates(part.group);
            auto first_usable = actions.is_usable(candidates[0]) ? 0 : 1;
            CHECK(it.first == candidates[first_usable]);
        }
    actions.unusable = {0, 1, 2, 3};
    start_search();
    CHECK(only_answer().state == verdict::refused(reason::no_owner));
}

TEST_CASE_FIXTURE(
    entry_fixture, "sub-requests of a lost owner go to the next candidate")
{
    // Guards against lost coverage when an instance dies.
    start_search();
    auto lost_owner = actions.batches[0].first;
    actions.unusable.insert(lost_owner);
    actions.batches.erase(actions.batches.begin());
    auto batch_count = actions.batches.size();
    coordinator.on_owner_lost(lost_owner);
    CHECK(actions.batches.size() > batch_count);
    answer_all();
    CHECK(only_answer().overall_coverage() == 1.0);
    CHECK(actions.retries[reason::owner_lost] == 1);
}

TEST_CASE_FIXTURE(
    entry_fixture, "sub-requests of a silent owner are sent again")
{
    // Guards against waiting for an owner that can't be reached although its
    // connection was not closed.
    start_search();
    auto batch_count = actions.batches.size();
    run_for(60ms);
    CHECK(actions.batches.size() > batch_count);
    CHECK(actions.retries[reason::attempt_timeout] == 1);
    answer_all();
    CHECK(only_answer().overall_coverage() == 1.0);
}

TEST_CASE_FIXTURE(
    entry_fixture, "an owner that replies to another query is not silent")
{
    // Guards against doubled load under overload, when queues are long and
    // owners are only busy.
    start_search();
    auto batches = actions.batches;
    time_source.advance(10ms);
    start_search();
    auto batch_count = actions.batches.size();
    for (std::size_t n = batches.size(); n < batch_count; ++n)
        coordinator.on_shard_reply(make_reply(actions.batches[n].second, 0));
    run_for(50ms);
    CHECK(actions.batches.size() == batch_count);
}

TEST_CASE_FIXTURE(
    entry_fixture, "a query restarts once when its snapshot is gone")
{
    // Guards against mixed snapshots, and against restarting for ever.
    start_search();
    answer_all();
    start_search();
    auto batches = std::move(actions.batches);
    actions.batches.clear();
    CHECK(batches[0].second.snapshot == 5);
    for (std::size_t n = 0; n < 3; ++n)
    {
        auto reply = make_reply(batches[0].second, 0, 6);
        reply.group = {0, static_cast<std::uint32_t>(n)};
        reply.state = verdict::refused(reason::snapshot_gone);
        for (const auto& it : batches)
            for (const auto& part : it.second.parts)
                if (part.group == reply.group)
                    coordinator.on_shard_reply(reply);
    }
    REQUIRE_FALSE(actions.batches.empty());
    CHECK(actions.batches[0].second.attempt == 2);
    CHECK(actions.batches[0].second.snapshot == 6);
    refuse_all(verdict::refused(reason::snapshot_gone));
    CHECK(actions.batches.empty());
    REQUIRE(actions.answers.size() == 2);
    CHECK(actions.answers[1].missing_reason == reason::snapshot_gone);
}

TEST_CASE_FIXTURE(entry_fixture, "replies of two snapshots are not mixed")
{
    // Guards against mixed snapshots in the first query, which is sent without
    // a chosen snapshot.
    start_search();
    std::vector<std::pair<search_batch, std::size_t>> parts;
    for (const auto& it : actions.batches)
        for (std::size_t n = 0; n < it.second.parts.size(); ++n)
            parts.emplace_back(it.second, n);
    actions.batches.clear();
    CHECK(parts[0].first.snapshot == 0);
    coordinator.on_shard_reply(make_reply(parts[0].first, parts[0].second, 5));
    auto newer_reply = make_reply(parts[1].first, parts[1].second, 6);
    newer_reply.served_snapshots = {5, 6};
    coordinator.on_shard_reply(newer_reply);
    // Only the sub-request with the other snapshot is sent again.
    REQUIRE(actions.batches.size() == 1);
    CHECK(actions.batches[0].second.snapshot == 5);
    REQUIRE(actions.batches[0].second.parts.size() == 1);
    CHECK(actions.batches[0].second.parts[0].group == newer_reply.group);
    for (std::size_t n = 2; n < parts.size(); ++n)
        coordinator.on_shard_reply(
            make_reply(parts[n].first, parts[n].second, 5));
    answer_all();
    CHECK(only_answer().snapshot == 5);
    CHECK(only_answer().overall_coverage() == 1.0);
}

TEST_CASE_FIXTURE(entry_fixture, "a reply of another epoch is not merged")
{
    // Guards against merging documents of another partition map during a
    // repartition.
    start_search();
    auto batches = actions.batches;
    for (const auto& it : batches)
        for (std::size_t n = 0; n < it.second.parts.size(); ++n)
        {
            auto reply = make_reply(it.second, n);
            reply.epoch += reply.group.partition == 0 ? 1 : 0;
            coordinator.on_shard_reply(reply);
        }
    CHECK(only_answer().coverage[0].answered_groups == 2);
    CHECK(only_answer().missing_reason == reason::epoch_mismatch);
}

TEST_CASE_FIXTURE(entry_fixture, "a running query keeps its partition map")
{
    // Guards against a total in the coverage that changes while a query runs.
    start_search();
    auto next_content = make_bundle(8, {3, 1});
    next_content->version = 2;
    coordinator.on_bundle(next_content);
    answer_all();
    CHECK(only_answer().bundle_version == 1);
    CHECK(only_answer().coverage[0].total_groups == 3);
}

TEST_CASE_FIXTURE(entry_fixture, "a caller that is gone gets no answer")
{
    // Guards against load and running queries that remain after the caller has
    // gone.
    auto id = start_search();
    coordinator.on_caller_gone(id);
    CHECK(coordinator.in_flight() == 0);
    CHECK_FALSE(actions.cancelled_owners.empty());
    run_for(200ms);
    CHECK(actions.answers.empty());
}
