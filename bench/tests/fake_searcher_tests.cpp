// The results of the bench are valid only if fake_searcher behaves as a backend
// server does.
#include "../fakes/fake_searcher.h"

#include <doctest/doctest.h>

namespace turmericlane::bench
{
namespace
{

using std::chrono::milliseconds;

class searcher_fixture
{
public:
    searcher_fixture()
        : configuration_(make_deployment("jamaica").initial_bundle)
    {
        checker.on_query(1, rank::ordinary, events.now());
    }

    std::uint64_t submit(duration time_left, std::uint64_t snapshot = 0)
    {
        backend_request request;
        request.group = {0, 0};
        request.query = std::to_string(1);
        request.time_left = time_left;
        request.snapshot = snapshot;
        request.epoch = 1;
        return server.submit(
            request,
            [this](const backend_reply& it) { replies.push_back(it); });
    }

    void run_for(duration time)
    {
        events.run_until(events.now() + time);
    }

    std::size_t count_replies(backend_status status) const
    {
        std::size_t result = 0;
        for (const auto& it : replies)
            result += it.status == status ? 1 : 0;
        return result;
    }

    event_queue events;
    answer_checker checker{2};
    std::vector<backend_reply> replies;

private:
    bundle configuration_;

public:
    fake_searcher server{
        1,
        events,
        checker,
        configuration_.services[0],
        configuration_.services[0].groups[0],
        configuration_.services[0].groups[0].searchers[0]};
};

} // namespace

TEST_CASE_FIXTURE(
    searcher_fixture,
    "a searcher sheds load when its slots and its queue are full")
{
    for (int it = 0; it < 3 + 64 + 2; ++it)
        submit(milliseconds(1000));
    CHECK(server.report().in_flight == 3);
    CHECK(server.report().queued_requests == 64);
    CHECK(count_replies(backend_status::shed) == 2);
    run_for(milliseconds(1000));
    CHECK(count_replies(backend_status::ok) == 3 + 64);
    CHECK(server.report().in_flight == 0);
}

TEST_CASE_FIXTURE(searcher_fixture, "cancelling a request frees its slot")
{
    auto first_token = submit(milliseconds(1000));
    for (int it = 0; it < 3; ++it)
        submit(milliseconds(1000));
    CHECK(server.report().queued_requests == 1);
    server.cancel(first_token);
    CHECK(count_replies(backend_status::cancelled) == 1);
    CHECK(server.report().in_flight == 3);
    CHECK(server.report().queued_requests == 0);
}

TEST_CASE_FIXTURE(searcher_fixture, "a request ends at its deadline")
{
    server.state().service_time_factor = 1000.0;
    submit(milliseconds(10));
    run_for(milliseconds(9));
    CHECK(replies.empty());
    run_for(milliseconds(1));
    CHECK(count_replies(backend_status::deadline) == 1);
    CHECK(server.report().in_flight == 0);
}

TEST_CASE_FIXTURE(searcher_fixture, "only live snapshots are served")
{
    server.state().snapshots = {2, 3};
    for (std::uint64_t it = 0; it < 5; ++it)
        submit(milliseconds(1000), it);
    CHECK(count_replies(backend_status::snapshot_gone) == 2);
    run_for(milliseconds(1000));
    REQUIRE(count_replies(backend_status::ok) == 3);
    CHECK(replies.back().served_snapshots.oldest == 2);
    CHECK(replies.back().served_snapshots.newest == 3);
}

TEST_CASE_FIXTURE(
    searcher_fixture, "connections are refused above the limit or on demand")
{
    for (int it = 0; it < 30; ++it)
        CHECK(server.open_connection());
    CHECK_FALSE(server.open_connection());
    CHECK(checker.total_violations() == 1);
    server.restart();
    server.state().refuses_connections = true;
    CHECK_FALSE(server.open_connection());
}

TEST_CASE_FIXTURE(
    searcher_fixture, "a restart fails requests and draining rejects them")
{
    submit(milliseconds(1000));
    server.restart();
    CHECK(count_replies(backend_status::connection_lost) == 1);
    server.state().is_draining = true;
    submit(milliseconds(1000));
    CHECK(count_replies(backend_status::draining) == 1);
    CHECK(server.report().is_draining);
}

} // namespace turmericlane::bench
