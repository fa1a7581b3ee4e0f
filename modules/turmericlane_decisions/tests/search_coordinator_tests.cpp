#include "recording_actions.h"
#include "virtual_fleet.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** A coordinator with two services of three groups and recorded actions. */
struct entry_fixture
{
    manual_clock time;
    recording_actions actions;
    std::shared_ptr<bundle> content = make_bundle(3, {3, 1});
    search_coordinator tested{0, 77, time, actions, actions, &actions};

    entry_fixture()
    {
        tested.on_bundle(content);
    }

    query_id
    ask(duration left = 100ms,
        rank work = rank::urgent,
        std::vector<std::uint32_t> services = {0})
    {
        search_request request;
        request.caller_request_id = "caller";
        request.services = std::move(services);
        request.request_rank = work;
        request.deadline = time.now() + left;
        return tested.on_search(request);
    }

    static shard_reply make_reply(
        const search_batch& to, std::size_t part, std::uint64_t snapshot = 5)
    {
        shard_reply made;
        made.id = to.id;
        made.attempt = to.attempt;
        made.group = to.parts[part].group;
        made.state = verdict::success();
        made.snapshot = snapshot;
        made.epoch = to.parts[part].epoch;
        made.served_snapshots = {snapshot, snapshot};
        made.sub_requests_sent = 1;
        made.hits = {{"d" + std::to_string(made.group.partition), 1.0}};
        return made;
    }

    /** Answers every part of every batch so far, but for some groups. */
    void answer_all(const std::set<std::uint32_t>& except = {})
    {
        auto batches = std::move(actions.batches);
        actions.batches.clear();
        for (const auto& it : batches)
            for (std::size_t n = 0; n < it.second.parts.size(); ++n)
                if (!except.contains(it.second.parts[n].group.partition))
                    tested.on_shard_reply(make_reply(it.second, n));
    }

    void refuse_all(verdict with)
    {
        auto batches = std::move(actions.batches);
        actions.batches.clear();
        for (const auto& it : batches)
            for (std::size_t n = 0; n < it.second.parts.size(); ++n)
            {
                auto reply = make_reply(it.second, n);
                reply.state = with;
                tested.on_shard_reply(reply);
            }
    }

    void run_for(duration span)
    {
        auto end = time.now() + span;
        while (tested.next_wakeup() <= end)
        {
            time.advance_to(std::max(time.now(), tested.next_wakeup()));
            tested.on_timer();
        }
        time.advance_to(end);
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
    // Guards against waiting for the deadline, and a wrong denominator.
    auto id = ask();
    answer_all();
    CHECK(only_answer().id == id);
    CHECK(only_answer().caller_request_id == "caller");
    CHECK(only_answer().state == verdict::success());
    CHECK(only_answer().overall_coverage() == 1.0);
    CHECK(only_answer().hits.size() == 3);
    CHECK(only_answer().missing_reason == reason::none);
    CHECK(tested.in_flight() == 0);
    CHECK(tested.next_wakeup() == time_point::max());
}

TEST_CASE_FIXTURE(
    entry_fixture, "late, doubled and foreign replies are dropped")
{
    // Guards against merging a reply twice or into another query.
    ask();
    auto batch = actions.batches[0].second;
    auto reply = make_reply(batch, 0);
    tested.on_shard_reply(reply);
    tested.on_shard_reply(reply);
    CHECK(actions.refusals[reason::duplicate_reply] == 1);
    auto foreign = reply;
    foreign.id.nonce = 78;
    tested.on_shard_reply(foreign);
    auto future = reply;
    future.attempt = 9;
    tested.on_shard_reply(future);
    auto other_group = reply;
    other_group.group = {1, 0};
    tested.on_shard_reply(other_group);
    CHECK(actions.refusals[reason::unmatched_reply] == 3);
    run_for(200ms);
    CHECK(only_answer().hits.size() == 1);
    tested.on_shard_reply(reply);
    CHECK(actions.refusals[reason::late_reply] == 1);
    CHECK(actions.answers.size() == 1);
}

TEST_CASE_FIXTURE(entry_fixture, "the deadline yields a partial answer")
{
    // Guards against an answer that hides what it lacks.
    ask();
    answer_all({1});
    run_for(100ms);
    CHECK(only_answer().state == verdict::success());
    CHECK(only_answer().coverage[0].answered_groups == 2);
    CHECK(only_answer().coverage[0].total_groups == 3);
    CHECK(only_answer().missing_reason == reason::deadline_reached);
    CHECK_FALSE(actions.cancelled_owners.empty());
}

TEST_CASE_FIXTURE(entry_fixture, "coverage below the policy is a refusal")
{
    // Guards against an answer that promises one hut to two families.
    content->policy.min_coverage = 0.9;
    ask();
    answer_all({1});
    run_for(100ms);
    CHECK(only_answer().state == verdict::unknown(reason::deadline_reached));
    CHECK(only_answer().hits.empty());
    CHECK(only_answer().coverage[0].answered_groups == 2);
}

TEST_CASE_FIXTURE(entry_fixture, "silence until the deadline may have run")
{
    // Guards against not_run for a request that was sent.
    ask();
    run_for(100ms);
    CHECK(only_answer().state == verdict::unknown(reason::deadline_reached));
}

TEST_CASE_FIXTURE(entry_fixture, "refusals of all parts are a refusal")
{
    // Guards against may_have_run where a caller may repeat freely.
    ask();
    refuse_all(verdict::refused(reason::queue_full));
    CHECK(only_answer().state == verdict::refused(reason::queue_full));
    ask();
    refuse_all(verdict::unknown(reason::connection_lost));
    CHECK(
        actions.answers[1].state == verdict::unknown(reason::connection_lost));
}

TEST_CASE_FIXTURE(entry_fixture, "bad requests are refused before any byte")
{
    // Guards against work for requests that can't be answered.
    ask(0ms);
    ask(100ms, rank::urgent, {9});
    REQUIRE(actions.answers.size() == 2);
    CHECK(actions.answers[0].state == verdict::refused(reason::deadline_past));
    CHECK(
        actions.answers[1].state == verdict::refused(reason::unknown_service));
    ask(50ms);
    time.advance(10ms);
    answer_all();
    ask(5ms);
    CHECK(
        actions.answers[3].state ==
        verdict::refused(reason::deadline_too_short));
    CHECK(actions.batches.empty());
}

TEST_CASE_FIXTURE(entry_fixture, "the rank limit refuses that rank only")
{
    // Guards against a flood of archive work that closes the entry for all.
    std::size_t sent = 0;
    while (actions.answers.empty())
    {
        sent = actions.batches.size();
        ask(1s, rank::archive);
    }
    CHECK(only_answer().state == verdict::refused(reason::rank_limit));
    CHECK(actions.batches.size() == sent);
    ask(1s, rank::urgent);
    CHECK(actions.batches.size() > sent);
}

TEST_CASE_FIXTURE(entry_fixture, "long queues lower the rank limit")
{
    // Guards against an entry that goes on sending into full queues, and
    // against one group in trouble that closes the entry.
    auto before = tested.rank_limit(rank::urgent);
    ask(100ms, rank::urgent, {0, 1});
    auto batches = actions.batches;
    std::size_t sent = 0;
    for (const auto& it : batches)
        for (std::size_t n = 0; n < it.second.parts.size() && sent < 2; ++n)
        {
            auto reply = make_reply(it.second, n);
            reply.queue_delay = 60ms;
            tested.on_shard_reply(reply);
            if (++sent == 1)
                CHECK(tested.rank_limit(rank::urgent) == before);
        }
    CHECK(tested.rank_limit(rank::urgent) < before);
}

TEST_CASE_FIXTURE(entry_fixture, "the first usable candidate is asked")
{
    // Guards against several owners for one group in the same view.
    owner_map owners(*content);
    actions.unusable.insert(owners.candidates({0, 0})[0]);
    ask();
    for (const auto& it : actions.batches)
        for (const auto& part : it.second.parts)
        {
            auto candidates = owners.candidates(part.group);
            auto first = actions.is_usable(candidates[0]) ? 0 : 1;
            CHECK(it.first == candidates[first]);
        }
    actions.unusable = {0, 1, 2, 3};
    ask();
    CHECK(only_answer().state == verdict::refused(reason::no_owner));
}

TEST_CASE_FIXTURE(
    entry_fixture, "a lost owner's parts go to the next candidate")
{
    // Guards against lost coverage when an instance dies.
    ask();
    auto lost = actions.batches[0].first;
    actions.unusable.insert(lost);
    actions.batches.erase(actions.batches.begin());
    auto before = actions.batches.size();
    tested.on_owner_lost(lost);
    CHECK(actions.batches.size() > before);
    answer_all();
    CHECK(only_answer().overall_coverage() == 1.0);
    CHECK(actions.retries[reason::owner_lost] == 1);
}

TEST_CASE_FIXTURE(entry_fixture, "a silent owner's parts go to the next one")
{
    // Guards against an owner that is cut off without a broken connection,
    // and against double work for owners that are only busy.
    ask();
    auto first = actions.batches.size();
    run_for(60ms);
    CHECK(actions.batches.size() > first);
    CHECK(actions.retries[reason::attempt_timeout] == 1);
    answer_all();
    CHECK(only_answer().overall_coverage() == 1.0);
}

TEST_CASE_FIXTURE(
    entry_fixture, "an owner that answers other work is waited for")
{
    // Guards against doubled load in a flood, when queues are long.
    ask();
    auto batches = actions.batches;
    time.advance(10ms);
    ask();
    auto sent = actions.batches.size();
    for (std::size_t n = batches.size(); n < sent; ++n)
        tested.on_shard_reply(make_reply(actions.batches[n].second, 0));
    run_for(50ms);
    CHECK(actions.batches.size() == sent);
}

TEST_CASE_FIXTURE(
    entry_fixture, "a query is pinned again once when a snapshot goes")
{
    // Guards against mixed snapshots, and against asking again for ever.
    ask();
    answer_all();
    ask();
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
                    tested.on_shard_reply(reply);
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
    // Guards against a first query, which has no pin, that mixes snapshots.
    ask();
    std::vector<std::pair<search_batch, std::size_t>> parts;
    for (const auto& it : actions.batches)
        for (std::size_t n = 0; n < it.second.parts.size(); ++n)
            parts.emplace_back(it.second, n);
    actions.batches.clear();
    CHECK(parts[0].first.snapshot == 0);
    tested.on_shard_reply(make_reply(parts[0].first, parts[0].second, 5));
    auto newer = make_reply(parts[1].first, parts[1].second, 6);
    newer.served_snapshots = {5, 6};
    tested.on_shard_reply(newer);
    // Only the part of the other snapshot is asked for again.
    REQUIRE(actions.batches.size() == 1);
    CHECK(actions.batches[0].second.snapshot == 5);
    REQUIRE(actions.batches[0].second.parts.size() == 1);
    CHECK(actions.batches[0].second.parts[0].group == newer.group);
    for (std::size_t n = 2; n < parts.size(); ++n)
        tested.on_shard_reply(make_reply(parts[n].first, parts[n].second, 5));
    answer_all();
    CHECK(only_answer().snapshot == 5);
    CHECK(only_answer().overall_coverage() == 1.0);
}

TEST_CASE_FIXTURE(entry_fixture, "a reply of another epoch is not merged")
{
    // Guards against documents of another partition map during a repartition.
    ask();
    auto batches = actions.batches;
    for (const auto& it : batches)
        for (std::size_t n = 0; n < it.second.parts.size(); ++n)
        {
            auto reply = make_reply(it.second, n);
            reply.epoch += reply.group.partition == 0 ? 1 : 0;
            tested.on_shard_reply(reply);
        }
    CHECK(only_answer().coverage[0].answered_groups == 2);
    CHECK(only_answer().missing_reason == reason::epoch_mismatch);
}

TEST_CASE_FIXTURE(entry_fixture, "a running query keeps its partition map")
{
    // Guards against a denominator that changes while a query runs.
    ask();
    auto next = make_bundle(8, {3, 1});
    next->version = 2;
    tested.on_bundle(next);
    answer_all();
    CHECK(only_answer().bundle_version == 1);
    CHECK(only_answer().coverage[0].total_groups == 3);
}

TEST_CASE_FIXTURE(entry_fixture, "a caller that is gone gets no answer")
{
    // Guards against work and counters that outlive their caller.
    auto id = ask();
    tested.on_caller_gone(id);
    CHECK(tested.in_flight() == 0);
    CHECK_FALSE(actions.cancelled_owners.empty());
    run_for(200ms);
    CHECK(actions.answers.empty());
}
