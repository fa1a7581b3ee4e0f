// The bench states something only if its fakes behave as backend servers do.
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
        : of_(make_deployment("jamaica").first)
    {
        checker.on_query(1, rank::ordinary, events.now());
    }

    std::uint64_t submit(duration left, std::uint64_t snapshot = 0)
    {
        backend_request request;
        request.group = {0, 0};
        request.query = std::to_string(1);
        request.time_left = left;
        request.snapshot = snapshot;
        request.epoch = 1;
        return server.submit(
            request,
            [this](const backend_reply& it) { replies.push_back(it); });
    }

    void run(duration span)
    {
        events.run_until(events.now() + span);
    }

    std::size_t count(backend_status status) const
    {
        std::size_t made = 0;
        for (const auto& it : replies)
            made += it.status == status ? 1 : 0;
        return made;
    }

    event_queue events;
    answer_checker checker{2};
    std::vector<backend_reply> replies;

private:
    bundle of_;

public:
    fake_searcher server{
        1,
        events,
        checker,
        of_.services[0],
        of_.services[0].groups[0],
        of_.services[0].groups[0].searchers[0]};
};

} // namespace

TEST_CASE_FIXTURE(searcher_fixture, "slots, queue and shedding")
{
    for (int it = 0; it < 3 + 64 + 2; ++it)
        submit(milliseconds(1000));
    CHECK(server.report().in_flight == 3);
    CHECK(server.report().queued_requests == 64);
    CHECK(count(backend_status::shed) == 2);
    run(milliseconds(1000));
    CHECK(count(backend_status::ok) == 3 + 64);
    CHECK(server.report().in_flight == 0);
}

TEST_CASE_FIXTURE(searcher_fixture, "cancellation frees the slot")
{
    auto first = submit(milliseconds(1000));
    for (int it = 0; it < 3; ++it)
        submit(milliseconds(1000));
    CHECK(server.report().queued_requests == 1);
    server.cancel(first);
    CHECK(count(backend_status::cancelled) == 1);
    CHECK(server.report().in_flight == 3);
    CHECK(server.report().queued_requests == 0);
}

TEST_CASE_FIXTURE(searcher_fixture, "the deadline ends a request")
{
    server.state().slow = 1000.0;
    submit(milliseconds(10));
    run(milliseconds(9));
    CHECK(replies.empty());
    run(milliseconds(1));
    CHECK(count(backend_status::deadline) == 1);
    CHECK(server.report().in_flight == 0);
}

TEST_CASE_FIXTURE(searcher_fixture, "only live snapshots are served")
{
    server.state().snapshots = {2, 3};
    for (std::uint64_t it = 0; it < 5; ++it)
        submit(milliseconds(1000), it);
    CHECK(count(backend_status::snapshot_gone) == 2);
    run(milliseconds(1000));
    REQUIRE(count(backend_status::ok) == 3);
    CHECK(replies.back().served_snapshots.oldest == 2);
    CHECK(replies.back().served_snapshots.newest == 3);
}

TEST_CASE_FIXTURE(searcher_fixture, "connections are limited and refused")
{
    for (int it = 0; it < 30; ++it)
        CHECK(server.open_connection());
    CHECK_FALSE(server.open_connection());
    CHECK(checker.total_violations() == 1);
    server.restart();
    server.state().refuses = true;
    CHECK_FALSE(server.open_connection());
}

TEST_CASE_FIXTURE(searcher_fixture, "drain and restart refuse or lose work")
{
    submit(milliseconds(1000));
    server.restart();
    CHECK(count(backend_status::connection_lost) == 1);
    server.state().draining = true;
    submit(milliseconds(1000));
    CHECK(count(backend_status::draining) == 1);
    CHECK(server.report().is_draining);
}

} // namespace turmericlane::bench
