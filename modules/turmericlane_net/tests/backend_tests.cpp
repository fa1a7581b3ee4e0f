#include "recording_listener.h"
#include "scripted_backend.h"

#include <doctest/doctest.h>

#include <future>
#include <latch>

using namespace turmericlane;

namespace
{

const monotonic_clock real_time;

/** The result of one job, for which a test can wait. */
class awaited_job
{
public:
    backend_job make(std::string path = "/search")
    {
        backend_job made;
        made.path = std::move(path);
        made.request_id = "id-1";
        made.body = "{\"query\":\"hut\"}";
        made.deadline = real_time.now() + test_timeout;
        made.done = [this](exchange_result it)
        { result_.set_value(std::move(it)); };
        return made;
    }

    exchange_result get()
    {
        auto future = result_.get_future();
        if (future.wait_for(2 * test_timeout) != std::future_status::ready)
            return {};
        return future.get();
    }

private:
    std::promise<exchange_result> result_;
};

exchange_result run(backend_pool& pool, std::uint16_t port)
{
    awaited_job job;
    pool.submit("127.0.0.1", port, job.make());
    return job.get();
}

scripted_backend::handler always(int status, const std::string& body)
{
    return [=](const std::string&, const std::string&)
    { return scripted_backend::response(status, body); };
}

// A port that was free a moment ago, so that nothing listens on it.
std::uint16_t closed_port()
{
    scripted_backend gone(always(200, ""));
    return gone.port();
}

} // namespace

TEST_CASE("jobs one after the other share a connection")
{
    std::string seen;
    scripted_backend server(
        [&](const std::string&, const std::string& body)
        {
            seen = body;
            return scripted_backend::response(200, "{\"hits\":[]}");
        });
    backend_pool pool(real_time);
    for (int n = 0; n < 20; ++n)
    {
        awaited_job job;
        auto made = job.make();
        made.headers = {{"X-Rank", "urgent"}};
        pool.submit("127.0.0.1", server.port(), std::move(made));
        auto got = job.get();
        CHECK(got.status == exchange_status::replied);
        CHECK(got.may_have_left);
        CHECK(got.http_status == 200);
        CHECK(got.body == "{\"hits\":[]}");
    }
    CHECK(server.connections() == 1);
    CHECK(seen == "{\"query\":\"hut\"}");
    auto head = server.requests()[0];
    CHECK(head.starts_with("POST /search HTTP/1.1\r\n"));
    CHECK(head.find("X-Request-Id: id-1\r\n") != std::string::npos);
    CHECK(head.find("X-Rank: urgent\r\n") != std::string::npos);
}

TEST_CASE("a refusal of the server keeps its status and body")
{
    scripted_backend server(always(503, "{\"reason\":\"shed\"}"));
    backend_pool pool(real_time);
    auto got = run(pool, server.port());
    CHECK(got.status == exchange_status::replied);
    CHECK(got.http_status == 503);
    CHECK(got.body == "{\"reason\":\"shed\"}");
}

TEST_CASE("a get has no body")
{
    scripted_backend server(always(200, "{}"));
    backend_pool pool(real_time);
    awaited_job job;
    auto made = job.make("/load");
    made.post = false;
    made.body.clear();
    pool.submit("127.0.0.1", server.port(), std::move(made));
    CHECK(job.get().http_status == 200);
    CHECK(server.requests()[0].starts_with("GET /load HTTP/1.1\r\n"));
}

TEST_CASE("a failed connect says that no byte has left")
{
    backend_pool pool(real_time);
    auto got = run(pool, closed_port());
    CHECK(got.status == exchange_status::connect_failed);
    CHECK_FALSE(got.may_have_left);
}

TEST_CASE("a connection that breaks is not used to send the job again")
{
    scripted_backend server([](const std::string&, const std::string&)
                            { return std::nullopt; });
    backend_pool pool(real_time);
    auto got = run(pool, server.port());
    CHECK(got.status == exchange_status::connection_lost);
    CHECK(got.may_have_left);
    CHECK(server.requests().size() == 1);
    CHECK(run(pool, server.port()).status == exchange_status::connection_lost);
    CHECK(server.requests().size() == 2);
}

TEST_CASE("a reply that stays incomplete ends at the deadline")
{
    scripted_backend server(
        [&](const std::string& head,
            const std::string&) -> std::optional<std::string>
        {
            if (head.starts_with("POST /search"))
                return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"hi";
            return std::nullopt;
        });
    backend_pool pool(real_time);
    awaited_job job;
    auto made = job.make();
    made.deadline = real_time.now() + std::chrono::milliseconds(30);
    pool.submit("127.0.0.1", server.port(), std::move(made));
    auto got = job.get();
    CHECK(got.status == exchange_status::timed_out);
    CHECK(got.may_have_left);
    CHECK(got.body.empty());
}

TEST_CASE("the deadline bounds a server that does not answer")
{
    std::latch release(1);
    scripted_backend server(
        [&](const std::string&, const std::string&)
        {
            release.wait();
            return scripted_backend::response(200, "");
        });
    backend_pool pool(real_time);
    awaited_job job;
    auto made = job.make();
    made.deadline = real_time.now() + std::chrono::milliseconds(30);
    pool.submit("127.0.0.1", server.port(), std::move(made));
    CHECK(job.get().status == exchange_status::timed_out);
    release.count_down();
}

TEST_CASE("a job whose deadline has passed is not sent")
{
    scripted_backend server(always(200, ""));
    backend_pool pool(real_time);
    awaited_job job;
    auto made = job.make();
    made.deadline = real_time.now() - std::chrono::milliseconds(1);
    pool.submit("127.0.0.1", server.port(), std::move(made));
    auto got = job.get();
    CHECK(got.status == exchange_status::timed_out);
    CHECK_FALSE(got.may_have_left);
    CHECK(server.requests().empty());
}

TEST_CASE("a permit that refuses after the connect keeps every byte back")
{
    scripted_backend server(always(200, ""));
    backend_pool pool(real_time);
    awaited_job job;
    auto made = job.make("/book");
    bool asked = false;
    made.permit = [&]
    {
        asked = true;
        return false;
    };
    pool.submit("127.0.0.1", server.port(), std::move(made));
    auto got = job.get();
    CHECK(asked);
    CHECK(got.status == exchange_status::not_sent);
    CHECK_FALSE(got.may_have_left);
    CHECK(server.requests().empty());
    CHECK(run(pool, server.port()).status == exchange_status::replied);
}

TEST_CASE("no more connections are opened than allowed")
{
    std::atomic<int> busy = 0;
    std::atomic<int> most = 0;
    scripted_backend server(
        [&](const std::string&, const std::string&)
        {
            int now = ++busy;
            for (int seen = most; now > seen;)
                if (most.compare_exchange_weak(seen, now))
                    break;
            std::this_thread::yield();
            --busy;
            return scripted_backend::response(200, "");
        });
    backend_pool pool(real_time);
    pool.set_connection_limit("127.0.0.1", server.port(), 3);
    std::latch ended(60);
    for (int n = 0; n < 60; ++n)
    {
        awaited_job unused;
        auto job = unused.make();
        job.done = [&](const exchange_result&) { ended.count_down(); };
        pool.submit("127.0.0.1", server.port(), std::move(job));
    }
    ended.wait();
    CHECK(server.connections() <= 3);
    CHECK(pool.connections() <= 3);
    CHECK(most <= 3);
    CHECK(server.requests().size() == 60);
    pool.set_connection_limit("127.0.0.1", server.port(), 1);
    CHECK(run(pool, server.port()).status == exchange_status::replied);
}

TEST_CASE(
    "a cancel ends a queued job at once and tells the server of a running")
{
    std::latch running(1);
    std::latch cancelled(1);
    std::string cancel_head;
    scripted_backend server(
        [&](const std::string& head, const std::string&)
        {
            if (head.starts_with("POST /cancel"))
            {
                cancel_head = head;
                cancelled.count_down();
                return scripted_backend::response(200, "");
            }
            running.count_down();
            cancelled.wait();
            return scripted_backend::response(200, "late");
        });
    backend_pool pool(real_time);
    awaited_job first;
    awaited_job second;
    auto first_id = pool.submit("127.0.0.1", server.port(), first.make());
    running.wait();
    auto second_id = pool.submit("127.0.0.1", server.port(), second.make());
    pool.cancel(second_id);
    auto got = second.get();
    CHECK(got.status == exchange_status::cancelled);
    CHECK_FALSE(got.may_have_left);

    pool.set_connection_limit("127.0.0.1", server.port(), 2);
    pool.cancel(first_id);
    pool.cancel(first_id);
    got = first.get();
    CHECK(got.status == exchange_status::cancelled);
    CHECK(got.may_have_left);
    CHECK(got.body.empty());
    CHECK(cancel_head.find("X-Request-Id: id-1\r\n") != std::string::npos);
    CHECK(server.requests().size() == 2);
    pool.cancel(first_id);
}

TEST_CASE("a stop lets running jobs end and answers queued ones")
{
    std::latch running(1);
    std::latch release(1);
    scripted_backend server(
        [&](const std::string&, const std::string&)
        {
            running.count_down();
            release.wait();
            return scripted_backend::response(200, "whole");
        });
    backend_pool pool(real_time);
    awaited_job first;
    awaited_job second;
    awaited_job third;
    pool.submit("127.0.0.1", server.port(), first.make());
    running.wait();
    pool.submit("127.0.0.1", server.port(), second.make());
    std::thread stopping([&] { pool.stop(); });
    auto got = second.get();
    CHECK(got.status == exchange_status::not_sent);
    CHECK_FALSE(got.may_have_left);
    release.count_down();
    CHECK(first.get().body == "whole");
    stopping.join();
    CHECK(pool.pending() == 0);
    pool.submit("127.0.0.1", server.port(), third.make());
    CHECK(third.get().status == exchange_status::not_sent);
}

TEST_CASE("a server that was forgotten can come back")
{
    scripted_backend server(always(200, ""));
    backend_pool pool(real_time);
    CHECK(run(pool, server.port()).status == exchange_status::replied);
    pool.forget("127.0.0.1", server.port());
    CHECK(run(pool, server.port()).status == exchange_status::replied);
    pool.forget("127.0.0.1", server.port());
    pool.forget("127.0.0.1", server.port());
}
