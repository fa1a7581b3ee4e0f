#include "recording_actions.h"
#include "virtual_fleet.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** A dispatcher with a group of three searchers (service 0, ids 1 to 3) and a
    group of one (service 1, id 4), and recorded actions. */
struct owner_fixture
{
    manual_clock time;
    recording_actions actions;
    std::shared_ptr<bundle> content = make_bundle(1, {3, 1});
    group_dispatcher tested{1, time, actions, &actions};
    std::uint64_t counter = 0;

    owner_fixture()
    {
        tested.on_bundle(content);
    }

    query_id
    ask(std::uint32_t service = 0,
        rank work = rank::urgent,
        duration left = 100ms,
        std::uint64_t snapshot = 0,
        ordinal entry = 0)
    {
        search_batch batch;
        batch.id = {7, ++counter};
        batch.request_rank = work;
        batch.time_left = left;
        batch.snapshot = snapshot;
        batch.parts.push_back({{service, 0}, 1});
        tested.on_batch(entry, batch);
        return batch.id;
    }

    void
    end(attempt_id id,
        backend_status status = backend_status::ok,
        std::uint64_t snapshot = 5)
    {
        backend_reply reply;
        reply.status = status;
        reply.snapshot = snapshot;
        reply.epoch = 1;
        reply.served_snapshots = {snapshot, snapshot};
        tested.on_backend_reply(id, reply);
    }

    void run_for(duration span)
    {
        auto until = time.now() + span;
        while (tested.next_wakeup() <= until)
        {
            time.advance_to(std::max(time.now(), tested.next_wakeup()));
            tested.on_timer();
        }
        time.advance_to(until);
    }

    /** Answers so many requests, 4 ms each, that latencies are known and the
        hedge budget is filled. */
    void warm_up(std::uint32_t service = 0, int requests = 500)
    {
        for (int n = 0; n < requests; ++n)
        {
            ask(service);
            time.advance(4ms);
            end(actions.attempts.back().first);
        }
        actions.attempts.clear();
        actions.replies.clear();
    }

    verdict last_state() const
    {
        REQUIRE_FALSE(actions.replies.empty());
        return actions.replies.back().state;
    }
};

} // namespace

TEST_CASE_FIXTURE(owner_fixture, "the window to a searcher is never exceeded")
{
    // Guards against more connections than the owner's share.
    for (int n = 0; n < 40; ++n)
        ask(0, rank::ordinary);
    CHECK(actions.attempts.size() == 15);
    for (searcher_id it = 1; it <= 3; ++it)
        CHECK(tested.in_flight(it) == 5);
    CHECK(tested.queued() == 25);
    end(actions.attempts[0].first);
    CHECK(actions.attempts.size() == 16);
    // A cancelled request holds its connection until its end is reported.
    tested.on_cancel({7, 2});
    CHECK(actions.cancelled_attempts.size() == 1);
    CHECK(actions.attempts.size() == 16);
    end(actions.cancelled_attempts[0], backend_status::cancelled);
    CHECK(actions.attempts.size() == 17);
}

TEST_CASE_FIXTURE(owner_fixture, "urgent work overtakes what waits")
{
    // Guards against urgent lookups behind a flood of archive queries.
    content->ranks[1].min_share = content->ranks[2].min_share = 0.0;
    tested.on_bundle(content);
    for (int n = 0; n < 30; ++n)
        ask(0, rank::archive, 1s);
    ask(0, rank::ordinary);
    auto urgent = ask(0, rank::urgent);
    end(actions.attempts[0].first);
    CHECK(actions.attempts.back().second.id == urgent);
    end(actions.attempts[1].first);
    CHECK(actions.attempts.back().second.request_rank == rank::ordinary);
}

TEST_CASE_FIXTURE(owner_fixture, "work that waits past its deadline is not run")
{
    // Guards against slots that are spent on answers nobody waits for.
    for (int n = 0; n < 5; ++n)
        ask(1, rank::urgent, 1s);
    ask(1, rank::urgent, 20ms);
    run_for(30ms);
    REQUIRE(actions.replies.size() == 1);
    CHECK(last_state() == verdict::refused(reason::queue_deadline));
    CHECK(actions.replies[0].sub_requests_sent == 0);
    end(actions.attempts[0].first);
    CHECK(actions.attempts.size() == 5);
}

TEST_CASE_FIXTURE(owner_fixture, "a full queue refuses the newest")
{
    // Guards against memory that grows with a flood.
    while (actions.replies.empty())
        ask(1, rank::archive, 1h);
    CHECK(last_state() == verdict::refused(reason::queue_full));
    CHECK(tested.queued() < 1000);
    ask(1, rank::urgent, 1h);
    CHECK(actions.replies.size() == 1);
}

TEST_CASE_FIXTURE(owner_fixture, "hopeless work is refused on arrival")
{
    // Guards against queueing what can't be reached before its deadline.
    warm_up(1);
    for (int n = 0; n < 30; ++n)
        ask(1, rank::urgent, 1s);
    ask(1, rank::urgent, 20ms);
    CHECK(last_state() == verdict::refused(reason::queue_deadline));
}

TEST_CASE_FIXTURE(owner_fixture, "failures are retried on another replica")
{
    // Guards against lost coverage and against the same replica again.
    const std::pair<backend_status, reason> cases[] = {
        {backend_status::connect_failed, reason::connect_failed},
        {backend_status::connection_lost, reason::connection_lost},
        {backend_status::timed_out, reason::attempt_timeout},
        {backend_status::shed, reason::shed_by_server},
        {backend_status::draining, reason::server_draining},
        {backend_status::bad_reply, reason::bad_reply}};
    for (const auto& it : cases)
    {
        group_dispatcher fresh(1, time, actions, &actions);
        fresh.on_bundle(content);
        actions.attempts.clear();
        search_batch batch;
        batch.time_left = 100ms;
        batch.parts.push_back({{0, 0}, 1});
        fresh.on_batch(0, batch);
        backend_reply failed;
        failed.status = it.first;
        fresh.on_backend_reply(actions.attempts[0].first, failed);
        REQUIRE(actions.attempts.size() == 2);
        CHECK(
            actions.attempts[0].second.server !=
            actions.attempts[1].second.server);
        CHECK(actions.retries[it.second] == 1);
    }
}

TEST_CASE_FIXTURE(
    owner_fixture, "a failed part is not_run only if it ran nowhere")
{
    // Guards against a not_run after bytes were sent.
    ask(1);
    end(actions.attempts[0].first, backend_status::connect_failed);
    CHECK(last_state() == verdict::refused(reason::connect_failed));
    ask(1);
    end(actions.attempts[1].first, backend_status::connection_lost);
    CHECK(last_state() == verdict::unknown(reason::connection_lost));
    ask(0);
    end(actions.attempts[2].first, backend_status::bad_reply);
    end(actions.attempts[3].first, backend_status::connect_failed);
    end(actions.attempts[4].first, backend_status::shed);
    CHECK(last_state() == verdict::unknown(reason::shed_by_server));
    CHECK(actions.replies.back().sub_requests_sent == 3);
}

TEST_CASE_FIXTURE(owner_fixture, "retries end when their budget is spent")
{
    // Guards against a retry storm when all replicas fail.
    std::size_t first = 0;
    for (int n = 0; n < 300; ++n)
    {
        auto before = actions.attempts.size();
        ask();
        ++first;
        for (auto at = before; at < actions.attempts.size(); ++at)
            end(actions.attempts[at].first, backend_status::connect_failed);
    }
    CHECK(actions.replies.size() == 300);
    CHECK(actions.attempts.size() <= first + first / 10 + 21);
    CHECK(actions.refusals[reason::retry_budget_empty] > 0);
}

TEST_CASE_FIXTURE(
    owner_fixture, "a slow request is hedged and the loser cancelled")
{
    // Guards against a straggler that sets the latency of the query.
    warm_up();
    ask();
    // At a constant latency of 4 ms the hedge comes before 8 ms.
    run_for(10ms);
    REQUIRE(actions.attempts.size() == 2);
    CHECK(actions.hedges == 1);
    CHECK(
        actions.attempts[0].second.server != actions.attempts[1].second.server);
    end(actions.attempts[1].first);
    REQUIRE(actions.replies.size() == 1);
    CHECK(last_state() == verdict::success());
    CHECK(actions.replies[0].sub_requests_sent == 2);
    REQUIRE(actions.cancelled_attempts.size() == 1);
    CHECK(actions.cancelled_attempts[0] == actions.attempts[0].first);
    end(actions.attempts[0].first);
    CHECK(actions.replies.size() == 1);
}

TEST_CASE_FIXTURE(owner_fixture, "a group with one searcher is never hedged")
{
    // Guards against load on a server that is slow already.
    warm_up(1);
    ask(1);
    run_for(99ms);
    CHECK(actions.attempts.size() == 1);
    CHECK(actions.hedges == 0);
}

TEST_CASE_FIXTURE(owner_fixture, "no hedge is sent without a free slot")
{
    // Guards against hedges that add to an overload.
    warm_up();
    for (int n = 0; n < 9; ++n)
        ask();
    run_for(20ms);
    CHECK(actions.attempts.size() == 9);
    CHECK(actions.hedges == 0);
}

TEST_CASE_FIXTURE(owner_fixture, "hedges stay within their budget")
{
    // Guards against hedges that double the load when all servers slow down.
    warm_up(0, 100);
    for (int n = 0; n < 1000; ++n)
    {
        ask();
        run_for(50ms);
        for (std::size_t at = 0; at < actions.attempts.size(); ++at)
            end(actions.attempts[at].first);
        actions.attempts.clear();
    }
    CHECK(actions.hedges > 0);
    CHECK(actions.hedges <= 22);
}

TEST_CASE_FIXTURE(owner_fixture, "a leaving searcher gets no new work")
{
    // Guards against work for a server that is about to stop, whichever of
    // bundle, list and the server itself says so first.
    ask();
    auto first = actions.attempts[0].second.server;
    tested.on_server_leaving(first, true);
    auto second = first % 3 + 1;
    auto changed = std::make_shared<bundle>(*content);
    changed->version = 2;
    changed->services[0].groups[0].searchers[second - 1].leaving = true;
    tested.on_bundle(changed);
    for (int n = 0; n < 8; ++n)
        ask();
    for (std::size_t n = 1; n < actions.attempts.size(); ++n)
    {
        CHECK(actions.attempts[n].second.server != first);
        CHECK(actions.attempts[n].second.server != second);
    }
    end(actions.attempts[0].first);
    CHECK(actions.replies.size() == 1);
    CHECK(last_state() == verdict::success());
    end(actions.attempts[1].first, backend_status::draining);
    ask();
    CHECK(last_state() == verdict::refused(reason::no_replica));
}

TEST_CASE_FIXTURE(owner_fixture, "work does not wait for servers that left")
{
    // Guards against parts that wait until their deadline for nothing, and
    // against a server that gets full load as soon as it is back.
    for (int n = 0; n < 9; ++n)
        ask(1, rank::ordinary, 10s);
    REQUIRE(actions.attempts.size() == 5);
    auto changed = std::make_shared<bundle>(*content);
    changed->version = 2;
    changed->services[1].groups[0].searchers[0].leaving = true;
    tested.on_bundle(changed);
    CHECK(actions.replies.size() == 4);
    CHECK(last_state() == verdict::refused(reason::no_replica));
    for (std::size_t n = 0; n < 5; ++n)
        end(actions.attempts[n].first);
    CHECK(actions.replies.size() == 9);
    tested.on_bundle(content);
    for (int n = 0; n < 4; ++n)
        ask(1, rank::ordinary, 10s);
    CHECK(tested.in_flight(4) == 1);
}

TEST_CASE_FIXTURE(
    owner_fixture, "a searcher that left the bundle gets no new work")
{
    // Guards against work for a server of an earlier partition map.
    ask(1);
    auto changed = std::make_shared<bundle>(*content);
    changed->version = 2;
    changed->services[1].epoch = 2;
    changed->services[1].groups[0].searchers[0].id = 9;
    tested.on_bundle(changed);
    time.advance(3s);
    ask(1);
    CHECK(last_state() == verdict::refused(reason::no_replica));
    CHECK(actions.attempts.size() == 1);
}

TEST_CASE_FIXTURE(
    owner_fixture, "snapshot_gone reaches the entry with the range")
{
    // Guards against an entry that can't choose another snapshot.
    ask(1, rank::urgent, 100ms, 4);
    end(actions.attempts[0].first, backend_status::snapshot_gone, 6);
    CHECK(last_state() == verdict::refused(reason::snapshot_gone));
    CHECK(actions.replies[0].served_snapshots.newest == 6);
}

TEST_CASE_FIXTURE(owner_fixture, "a reply of another snapshot is not an answer")
{
    // Guards against mixed snapshots through a server that ignores the header.
    ask(1, rank::urgent, 100ms, 4);
    end(actions.attempts[0].first, backend_status::ok, 5);
    CHECK(last_state() == verdict::unknown(reason::snapshot_mismatch));
}

TEST_CASE_FIXTURE(owner_fixture, "cancelled parts are not answered")
{
    // Guards against replies to nobody, and against slots for cancelled work.
    ask(1);
    for (int n = 0; n < 10; ++n)
        ask(1, rank::urgent, 1s, 0, 3);
    tested.on_cancel({7, 1});
    tested.on_entry_lost(3);
    CHECK(tested.queued() == 0);
    CHECK(actions.cancelled_attempts.size() == 5);
    for (std::size_t n = 0; n < 5; ++n)
        end(actions.attempts[n].first);
    run_for(2s);
    CHECK(actions.replies.empty());
    CHECK(actions.attempts.size() == 5);
    CHECK(tested.in_flight(4) == 0);
    CHECK(tested.next_wakeup() == time_point::max());
}

TEST_CASE_FIXTURE(owner_fixture, "a message that comes twice is taken once")
{
    // Guards against two answers and double load for one part.
    search_batch batch;
    batch.id = {7, 1};
    batch.time_left = 100ms;
    batch.parts.push_back({{0, 0}, 1});
    tested.on_batch(0, batch);
    tested.on_batch(0, batch);
    CHECK(actions.attempts.size() == 1);
    end(actions.attempts[0].first);
    end(actions.attempts[0].first);
    CHECK(actions.replies.size() == 1);
    CHECK(actions.refusals[reason::unmatched_reply] == 1);
}

TEST_CASE_FIXTURE(owner_fixture, "the deadline ends a part that runs")
{
    // Guards against a part that is never answered, and a false not_run.
    ask(1);
    run_for(100ms);
    CHECK(last_state() == verdict::unknown(reason::deadline_reached));
    CHECK(actions.cancelled_attempts.size() == 1);
}

TEST_CASE_FIXTURE(owner_fixture, "a pause drops health but keeps who leaves")
{
    // Guards against decisions on measurements from before a pause.
    tested.on_server_leaving(1, true);
    ask();
    tested.on_pause_detected();
    end(actions.attempts[0].first);
    for (int n = 0; n < 8; ++n)
        ask();
    for (const auto& it : actions.attempts)
        CHECK(it.second.server != 1);
}

TEST_CASE_FIXTURE(owner_fixture, "unknown groups are refused")
{
    // Guards against a crash on a batch of another bundle version.
    ask(9);
    CHECK(last_state() == verdict::refused(reason::unknown_group));
    group_dispatcher empty(1, time, actions, nullptr);
    search_batch batch;
    batch.parts.push_back({{0, 0}, 1});
    empty.on_batch(0, batch);
    CHECK(last_state() == verdict::refused(reason::no_bundle));
}
