#include "loopback.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace turmericlane;
using namespace turmericlane::tests;

namespace
{

/** A caller whose system calls do not go through the loop, so that its bytes
    arrive while the listener does not read. */
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port)
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, own_address().c_str(), &address.sin_addr);
        REQUIRE(
            ::connect(
                descriptor_, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0);
    }

    ~raw_caller()
    {
        close();
    }

    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    void send(const std::string& text) const
    {
        REQUIRE(
            ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
    }

    void close()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
        descriptor_ = -1;
    }

private:
    int descriptor_;
};

/** Keeps the requests and reports of its sessions. */
struct reporting_fixture : session_handler
{
    reporting_fixture()
        : port(next_port())
        , listener(loop, *this, time)
    {
        REQUIRE_FALSE(listener.listen(own_address(), port).has_value());
    }

    void on_request(
        const std::shared_ptr<caller_session>& new_session,
        caller_request&&) override
    {
        session = new_session;
        ++request_count;
    }

    void on_caller_left(caller_session&) override {}
    void on_bad_request(unsigned) override {}

    void on_connection_ended(
        caller_session&, const connection_report& report) override
    {
        reports.push_back(report);
    }

    const caller_limits& limits() const override
    {
        return caller_limits_;
    }

    bool is_closing() const override
    {
        return false;
    }

    void receive_request(const raw_caller& caller, const std::string& fields)
    {
        const auto count = request_count;
        caller.send("GET /x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
        REQUIRE(run_until(loop, [&] { return request_count > count; }));
    }

    event_context loop;
    monotonic_clock time;
    std::uint16_t port;
    http_listener listener;
    std::shared_ptr<caller_session> session;
    std::size_t request_count = 0;
    std::vector<connection_report> reports;

private:
    caller_limits caller_limits_;
};

} // namespace

// Guards against a caller's close before its answer that leaves no trace.
TEST_CASE_FIXTURE(
    reporting_fixture, "a caller that closes before its answer is reported")
{
    raw_caller caller(port);
    receive_request(caller, {});
    caller.close();
    REQUIRE(run_until(loop, [&] { return !reports.empty(); }));
    CHECK(reports.front().cause == caller_connection_end::caller_closed);
    CHECK(reports.front().state == "handling");
    CHECK(reports.front().written_bytes == 0);
}

// Guards against an answer that is cut in the middle at the end of the process
// and looks delivered.
TEST_CASE_FIXTURE(
    reporting_fixture, "an answer that is being written at the end is reported")
{
    raw_caller caller(port);
    receive_request(caller, {});
    // More than the buffers of the system hold.
    const std::string body(std::size_t{64} << 20U, 'x');
    session->respond(200, {}, body);
    REQUIRE(run_until(
        loop,
        [&]
        {
            reports.clear();
            listener.report_process_end();
            return reports.front().written_bytes > 0;
        }));
    const auto& report = reports.front();
    CHECK(report.cause == caller_connection_end::process_end);
    CHECK(report.state == "writing");
    CHECK(report.unwritten_bytes > 0);
    CHECK(report.written_bytes + report.unwritten_bytes > body.size());
    CHECK(listener.count_sessions().writing == 1);
    CHECK(listener.count_sessions().unacknowledged_bytes > 0);
}

// Guards against a reset that loses a written answer without a trace: bytes
// of the caller were unread when its connection was closed.
TEST_CASE_FIXTURE(
    reporting_fixture, "unread bytes at the end of the process are reported")
{
    raw_caller caller(port);
    receive_request(caller, {});
    session->respond(200, {}, "done", true);
    REQUIRE(run_until(
        loop, [&] { return listener.count_sessions().discarding == 1; }));
    listener.report_process_end();
    CHECK(reports.empty());
    caller.send("more");
    listener.report_process_end();
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().state == "discarding");
    CHECK(reports.front().unread_bytes == 4);
    CHECK(reports.front().written_bytes > 4);
    CHECK(reports.front().unwritten_bytes == 0);
    CHECK(listener.count_sessions().unread_bytes == 4);
}

// Guards against a request that is lost unread in an idle connection.
TEST_CASE_FIXTURE(
    reporting_fixture,
    "an idle connection with a request stays open, or is reported")
{
    raw_caller caller(port);
    receive_request(caller, {});
    session->respond(200, {}, "done");
    REQUIRE(
        run_until(loop, [&] { return listener.count_sessions().idle == 1; }));
    caller.send("GET /y");
    listener.close_idle();
    CHECK(reports.empty());
    CHECK(listener.count_sessions().idle == 1);
    listener.report_process_end();
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().cause == caller_connection_end::process_end);
    CHECK(reports.front().state == "idle");
    CHECK(reports.front().unread_bytes == 6);
}

// Guards against a log that is filled by ordinary ends of connections.
TEST_CASE_FIXTURE(
    reporting_fixture, "the end of a connection after its answer is no report")
{
    raw_caller kept_caller(port);
    receive_request(kept_caller, {});
    session->respond(200, {}, "done");
    REQUIRE(
        run_until(loop, [&] { return listener.count_sessions().idle == 1; }));
    kept_caller.close();
    const auto are_all_closed = [&]
    {
        const auto n = listener.count_sessions();
        return n.idle + n.discarding + n.handling + n.writing == 0;
    };
    REQUIRE(run_until(loop, are_all_closed));
    raw_caller last_caller(port);
    receive_request(last_caller, "Connection: close\r\n");
    session->respond(200, {}, "done");
    REQUIRE(run_until(
        loop, [&] { return listener.count_sessions().discarding == 1; }));
    last_caller.close();
    REQUIRE(run_until(loop, are_all_closed));
    CHECK(reports.empty());
}
