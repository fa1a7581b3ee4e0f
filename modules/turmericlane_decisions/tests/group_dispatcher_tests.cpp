#include "recording_actions.h"
#include "virtual_fleet.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace turmericlane::tests;
using namespace std::chrono_literals;

namespace
{

/** A dispatcher with a group of three searchers (service 0, ids 1 to 3), a
    group of one searcher (service 1, id 4) and recorded actions. */
struct owner_fixture
{
    manual_clock test_clock;
    recording_actions actions;
    std::shared_ptr<bundle> active_bundle = make_bundle(1, {3, 1});
    group_dispatcher dispatcher{1, test_clock, actions, &actions};
    std::uint64_t last_query_number = 0;

    owner_fixture()
    {
        dispatcher.on_bundle(active_bundle);
    }

    query_id send_request(
        std::uint32_t service = 0,
        rank request_rank = rank::urgent,
        duration time_left = 100ms,
        std::uint64_t snapshot = 0,
        ordinal entry = 0)
    {
        search_batch batch;
        batch.id = {7, ++last_query_number};
        batch.request_rank = request_rank;
        batch.time_left = time_left;
        batch.snapshot = snapshot;
        batch.parts.push_back({{service, 0}, 1});
        dispatcher.on_batch(entry, batch);
        return batch.id;
    }

    void end_attempt(
        attempt_id id,
        backend_status status = backend_status::ok,
        std::uint64_t snapshot = 5)
    {
        backend_reply reply;
        reply.status = status;
        reply.snapshot = snapshot;
        reply.epoch = 1;
        reply.served_snapshots = {snapshot, snapshot};
        dispatcher.on_backend_reply(id, reply);
    }

    void run_for(duration run_time)
    {
        auto end_time = test_clock.now() + run_time;
        while (dispatcher.next_wakeup() <= end_time)
        {
            test_clock.advance_to(
                std::max(test_clock.now(), dispatcher.next_wakeup()));
            dispatcher.on_timer();
        }
        test_clock.advance_to(end_time);
    }

    /** Answers requests after 4 ms each. The default is enough to have latency
        statistics and tokens for hedges. */
    void warm_up(std::uint32_t service = 0, int request_count = 500)
    {
        for (int n = 0; n < request_count; ++n)
        {
            send_request(service);
            test_clock.advance(4ms);
            end_attempt(actions.attempts.back().first);
        }
        actions.attempts.clear();
        actions.replies.clear();
    }

    verdict last_verdict() const
    {
        REQUIRE_FALSE(actions.replies.empty());
        return actions.replies.back().state;
    }
};

} // namespace

TEST_CASE_FIXTURE(
    owner_fixture, "the limit of attempts in flight is never exceeded")
{
    // Guards against more connections to a searcher than the owner's share.
    for (int n = 0; n < 40; ++n)
        send_request(0, rank::ordinary);
    CHECK(actions.attempts.size() == 15);
    for (searcher_id id = 1; id <= 3; ++id)
        CHECK(dispatcher.attempts_in_flight(id) == 5);
    CHECK(dispatcher.waiting_count() == 25);
    end_attempt(actions.attempts[0].first);
    CHECK(actions.attempts.size() == 16);
    // A cancelled attempt keeps its connection until its end is reported.
    dispatcher.on_cancel({7, 2});
    CHECK(actions.cancelled_attempts.size() == 1);
    CHECK(actions.attempts.size() == 16);
    end_attempt(actions.cancelled_attempts[0], backend_status::cancelled);
    CHECK(actions.attempts.size() == 17);
}

TEST_CASE_FIXTURE(owner_fixture, "urgent requests go before waiting ones")
{
    // Guards against urgent requests that wait behind many archive requests.
    active_bundle->ranks[1].min_share = active_bundle->ranks[2].min_share = 0.0;
    dispatcher.on_bundle(active_bundle);
    for (int n = 0; n < 30; ++n)
        send_request(0, rank::archive, 1s);
    send_request(0, rank::ordinary);
    auto urgent_id = send_request(0, rank::urgent);
    end_attempt(actions.attempts[0].first);
    CHECK(actions.attempts.back().second.id == urgent_id);
    end_attempt(actions.attempts[1].first);
    CHECK(actions.attempts.back().second.request_rank == rank::ordinary);
}

TEST_CASE_FIXTURE(
    owner_fixture, "a request that waits past its deadline is not run")
{
    // Guards against using slots for answers that nobody waits for.
    for (int n = 0; n < 5; ++n)
        send_request(1, rank::urgent, 1s);
    send_request(1, rank::urgent, 20ms);
    run_for(30ms);
    REQUIRE(actions.replies.size() == 1);
    CHECK(last_verdict() == verdict::refused(reason::queue_deadline));
    CHECK(actions.replies[0].sub_requests_sent == 0);
    end_attempt(actions.attempts[0].first);
    CHECK(actions.attempts.size() == 5);
}

TEST_CASE_FIXTURE(owner_fixture, "a full queue refuses new requests")
{
    // Guards against memory use that grows without limit under overload.
    while (actions.replies.empty())
        send_request(1, rank::archive, 1h);
    CHECK(last_verdict() == verdict::refused(reason::queue_full));
    CHECK(dispatcher.waiting_count() < 1000);
    send_request(1, rank::urgent, 1h);
    CHECK(actions.replies.size() == 1);
}

TEST_CASE_FIXTURE(
    owner_fixture,
    "a request that can't meet its deadline is refused on arrival")
{
    // Guards against queueing requests that can't start before their deadline.
    warm_up(1);
    for (int n = 0; n < 30; ++n)
        send_request(1, rank::urgent, 1s);
    send_request(1, rank::urgent, 20ms);
    CHECK(last_verdict() == verdict::refused(reason::queue_deadline));
}

TEST_CASE_FIXTURE(owner_fixture, "failures are retried on another replica")
{
    // Guards against lost coverage and against retries on the same replica.
    const std::pair<backend_status, reason> cases[] = {
        {backend_status::connect_failed, reason::connect_failed},
        {backend_status::connection_lost, reason::connection_lost},
        {backend_status::timed_out, reason::attempt_timeout},
        {backend_status::shed, reason::shed_by_server},
        {backend_status::draining, reason::server_draining},
        {backend_status::bad_reply, reason::bad_reply}};
    for (const auto& it : cases)
    {
        group_dispatcher new_dispatcher(1, test_clock, actions, &actions);
        new_dispatcher.on_bundle(active_bundle);
        actions.attempts.clear();
        search_batch batch;
        batch.time_left = 100ms;
        batch.parts.push_back({{0, 0}, 1});
        new_dispatcher.on_batch(0, batch);
        backend_reply failed_reply;
        failed_reply.status = it.first;
        new_dispatcher.on_backend_reply(
            actions.attempts[0].first, failed_reply);
        REQUIRE(actions.attempts.size() == 2);
        CHECK(
            actions.attempts[0].second.server !=
            actions.attempts[1].second.server);
        CHECK(actions.retries[it.second] == 1);
    }
}

TEST_CASE_FIXTURE(
    owner_fixture, "a failed sub-request is not_run only if it ran nowhere")
{
    // Guards against the verdict not_run after bytes were sent.
    send_request(1);
    end_attempt(actions.attempts[0].first, backend_status::connect_failed);
    CHECK(last_verdict() == verdict::refused(reason::connect_failed));
    send_request(1);
    end_attempt(actions.attempts[1].first, backend_status::connection_lost);
    CHECK(last_verdict() == verdict::unknown(reason::connection_lost));
    send_request(0);
    end_attempt(actions.attempts[2].first, backend_status::bad_reply);
    end_attempt(actions.attempts[3].first, backend_status::connect_failed);
    end_attempt(actions.attempts[4].first, backend_status::shed);
    CHECK(last_verdict() == verdict::unknown(reason::shed_by_server));
    CHECK(actions.replies.back().sub_requests_sent == 3);
}

TEST_CASE_FIXTURE(owner_fixture, "retries end when their budget is spent")
{
    // Guards against retries that multiply the load when all replicas fail.
    std::size_t first_attempts = 0;
    for (int n = 0; n < 300; ++n)
    {
        auto attempts_before = actions.attempts.size();
        send_request();
        ++first_attempts;
        for (auto n = attempts_before; n < actions.attempts.size(); ++n)
            end_attempt(
                actions.attempts[n].first, backend_status::connect_failed);
    }
    CHECK(actions.replies.size() == 300);
    CHECK(actions.attempts.size() <= first_attempts + first_attempts / 10 + 21);
    CHECK(actions.refusals[reason::retry_budget_empty] > 0);
}

TEST_CASE_FIXTURE(owner_fixture, "a slow attempt is hedged and then cancelled")
{
    // Guards against a slow attempt that determines the latency of the query.
    warm_up();
    send_request();
    // At a constant latency of 4 ms the hedge comes before 8 ms.
    run_for(10ms);
    REQUIRE(actions.attempts.size() == 2);
    CHECK(actions.hedges == 1);
    CHECK(
        actions.attempts[0].second.server != actions.attempts[1].second.server);
    end_attempt(actions.attempts[1].first);
    REQUIRE(actions.replies.size() == 1);
    CHECK(last_verdict() == verdict::success());
    CHECK(actions.replies[0].sub_requests_sent == 2);
    REQUIRE(actions.cancelled_attempts.size() == 1);
    CHECK(actions.cancelled_attempts[0] == actions.attempts[0].first);
    end_attempt(actions.attempts[0].first);
    CHECK(actions.replies.size() == 1);
}

TEST_CASE_FIXTURE(owner_fixture, "a group with one searcher is never hedged")
{
    // Guards against more load on a server that is already slow.
    warm_up(1);
    send_request(1);
    run_for(99ms);
    CHECK(actions.attempts.size() == 1);
    CHECK(actions.hedges == 0);
}

TEST_CASE_FIXTURE(owner_fixture, "no hedge is sent without a free slot")
{
    // Guards against hedges that increase an overload.
    warm_up();
    for (int n = 0; n < 9; ++n)
        send_request();
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
        send_request();
        run_for(50ms);
        for (std::size_t n = 0; n < actions.attempts.size(); ++n)
            end_attempt(actions.attempts[n].first);
        actions.attempts.clear();
    }
    CHECK(actions.hedges > 0);
    CHECK(actions.hedges <= 22);
}

TEST_CASE_FIXTURE(owner_fixture, "a leaving searcher gets no new attempts")
{
    // Guards against attempts at a server that is about to stop, whether the
    // bundle, the list of searchers or the server itself says so first.
    send_request();
    auto first_server = actions.attempts[0].second.server;
    dispatcher.on_server_leaving(first_server, true);
    auto second_server = first_server % 3 + 1;
    auto new_bundle = std::make_shared<bundle>(*active_bundle);
    new_bundle->version = 2;
    new_bundle->services[0].groups[0].searchers[second_server - 1].leaving =
        true;
    dispatcher.on_bundle(new_bundle);
    for (int n = 0; n < 8; ++n)
        send_request();
    for (std::size_t n = 1; n < actions.attempts.size(); ++n)
    {
        CHECK(actions.attempts[n].second.server != first_server);
        CHECK(actions.attempts[n].second.server != second_server);
    }
    end_attempt(actions.attempts[0].first);
    CHECK(actions.replies.size() == 1);
    CHECK(last_verdict() == verdict::success());
    end_attempt(actions.attempts[1].first, backend_status::draining);
    send_request();
    CHECK(last_verdict() == verdict::refused(reason::no_replica));
}

TEST_CASE_FIXTURE(owner_fixture, "requests do not wait for servers that left")
{
    // Guards against sub-requests that wait in vain until their deadline, and
    // against a server that gets full load as soon as it is back in service.
    for (int n = 0; n < 9; ++n)
        send_request(1, rank::ordinary, 10s);
    REQUIRE(actions.attempts.size() == 5);
    auto new_bundle = std::make_shared<bundle>(*active_bundle);
    new_bundle->version = 2;
    new_bundle->services[1].groups[0].searchers[0].leaving = true;
    dispatcher.on_bundle(new_bundle);
    CHECK(actions.replies.size() == 4);
    CHECK(last_verdict() == verdict::refused(reason::no_replica));
    for (std::size_t n = 0; n < 5; ++n)
        end_attempt(actions.attempts[n].first);
    CHECK(actions.replies.size() == 9);
    dispatcher.on_bundle(active_bundle);
    for (int n = 0; n < 4; ++n)
        send_request(1, rank::ordinary, 10s);
    CHECK(dispatcher.attempts_in_flight(4) == 1);
}

TEST_CASE_FIXTURE(
    owner_fixture, "a searcher that left the bundle gets no new attempts")
{
    // Guards against attempts at a server of an earlier partition map.
    send_request(1);
    auto new_bundle = std::make_shared<bundle>(*active_bundle);
    new_bundle->version = 2;
    new_bundle->services[1].epoch = 2;
    new_bundle->services[1].groups[0].searchers[0].id = 9;
    dispatcher.on_bundle(new_bundle);
    test_clock.advance(3s);
    send_request(1);
    CHECK(last_verdict() == verdict::refused(reason::no_replica));
    CHECK(actions.attempts.size() == 1);
}

TEST_CASE_FIXTURE(
    owner_fixture, "snapshot_gone reaches the entry with the range")
{
    // Guards against an entry that can't choose another snapshot.
    send_request(1, rank::urgent, 100ms, 4);
    end_attempt(actions.attempts[0].first, backend_status::snapshot_gone, 6);
    CHECK(last_verdict() == verdict::refused(reason::snapshot_gone));
    CHECK(actions.replies[0].served_snapshots.newest == 6);
}

TEST_CASE_FIXTURE(owner_fixture, "a reply of another snapshot is not an answer")
{
    // Guards against mixed snapshots from a server that ignores the requested
    // one.
    send_request(1, rank::urgent, 100ms, 4);
    end_attempt(actions.attempts[0].first, backend_status::ok, 5);
    CHECK(last_verdict() == verdict::unknown(reason::snapshot_mismatch));
}

TEST_CASE_FIXTURE(owner_fixture, "cancelled sub-requests are not answered")
{
    // Guards against unwanted replies, and against slots used for cancelled
    // sub-requests.
    send_request(1);
    for (int n = 0; n < 10; ++n)
        send_request(1, rank::urgent, 1s, 0, 3);
    dispatcher.on_cancel({7, 1});
    dispatcher.on_entry_lost(3);
    CHECK(dispatcher.waiting_count() == 0);
    CHECK(actions.cancelled_attempts.size() == 5);
    for (std::size_t n = 0; n < 5; ++n)
        end_attempt(actions.attempts[n].first);
    run_for(2s);
    CHECK(actions.replies.empty());
    CHECK(actions.attempts.size() == 5);
    CHECK(dispatcher.attempts_in_flight(4) == 0);
    CHECK(dispatcher.next_wakeup() == time_point::max());
}

TEST_CASE_FIXTURE(owner_fixture, "a message that arrives twice is handled once")
{
    // Guards against two answers and double load for one sub-request.
    search_batch batch;
    batch.id = {7, 1};
    batch.time_left = 100ms;
    batch.parts.push_back({{0, 0}, 1});
    dispatcher.on_batch(0, batch);
    dispatcher.on_batch(0, batch);
    CHECK(actions.attempts.size() == 1);
    end_attempt(actions.attempts[0].first);
    end_attempt(actions.attempts[0].first);
    CHECK(actions.replies.size() == 1);
    CHECK(actions.refusals[reason::unmatched_reply] == 1);
}

TEST_CASE_FIXTURE(owner_fixture, "the deadline ends a running sub-request")
{
    // Guards against a sub-request without an answer, and a false not_run.
    send_request(1);
    run_for(100ms);
    CHECK(last_verdict() == verdict::unknown(reason::deadline_reached));
    CHECK(actions.cancelled_attempts.size() == 1);
}

TEST_CASE_FIXTURE(
    owner_fixture, "a pause resets health but keeps leaving servers")
{
    // Guards against decisions based on measurements from before a pause.
    dispatcher.on_server_leaving(1, true);
    send_request();
    dispatcher.on_pause_detected();
    end_attempt(actions.attempts[0].first);
    for (int n = 0; n < 8; ++n)
        send_request();
    for (const auto& it : actions.attempts)
        CHECK(it.second.server != 1);
}

TEST_CASE_FIXTURE(owner_fixture, "unknown groups are refused")
{
    // Guards against a crash when a batch comes from another bundle version.
    send_request(9);
    CHECK(last_verdict() == verdict::refused(reason::unknown_group));
    group_dispatcher empty_dispatcher(1, test_clock, actions, nullptr);
    search_batch batch;
    batch.parts.push_back({{0, 0}, 1});
    empty_dispatcher.on_batch(0, batch);
    CHECK(last_verdict() == verdict::refused(reason::no_bundle));
}
