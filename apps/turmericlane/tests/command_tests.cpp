#include <book_command.h>
#include <bundle_check_command.h>
#include <status_command.h>
#include <table.h>

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

using namespace turmericlane;

namespace
{

/** Captures what is written to a stream until the end of the scope. */
class captured_stream
{
public:
    explicit captured_stream(std::ostream& stream)
        : stream_(stream)
        , previous_buffer_(stream.rdbuf(text_.rdbuf()))
    {
    }
    captured_stream(const captured_stream&) = delete;
    captured_stream& operator=(const captured_stream&) = delete;
    ~captured_stream()
    {
        stream_.rdbuf(previous_buffer_);
    }
    std::string text() const
    {
        return text_.str();
    }

private:
    std::ostringstream text_;
    std::ostream& stream_;
    std::streambuf* previous_buffer_;
};

/** An instance that gives fixed replies, on a free port. */
class fake_instance
{
public:
    fake_instance()
    {
        port_ = server_.bind_to_any_port("127.0.0.1");
        REQUIRE(port_ > 0);
        server_.Post(
            "/v1/tickets",
            [this](const httplib::Request&, auto& reply)
            {
                ++tickets;
                reply.set_content(R"({"ticket":"t'1"})", "application/json");
            });
        server_.Post(
            "/v1/bookings",
            [this](const httplib::Request& request, auto& reply)
            {
                ++bookings;
                std::lock_guard lock(mutex_);
                last_booking_ = nlohmann::json::parse(request.body);
                reply.status = status_;
                if (body_.empty())
                    // Closes the connection before the stated length is sent.
                    reply.set_content_provider(
                        100, "application/json",
                        [](std::size_t, std::size_t, httplib::DataSink&)
                        { return false; });
                else
                    reply.set_content(body_, "application/json");
            });
        server_.Get(
            "/v1/status",
            [this](const httplib::Request&, auto& reply)
            {
                std::lock_guard lock(mutex_);
                reply.status = status_;
                reply.set_content(body_, "application/json");
            });
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running())
            std::this_thread::yield();
    }
    fake_instance(const fake_instance&) = delete;
    fake_instance& operator=(const fake_instance&) = delete;
    ~fake_instance()
    {
        server_.stop();
        thread_.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    /** Sets the reply to bookings and status requests. With an empty body, the
        connection is closed before the reply to a booking is complete. */
    void set_reply(int status, std::string body)
    {
        std::lock_guard lock(mutex_);
        status_ = status;
        body_ = std::move(body);
    }

    nlohmann::json last_booking() const
    {
        std::lock_guard lock(mutex_);
        return last_booking_;
    }

    std::atomic<int> tickets{0};
    std::atomic<int> bookings{0};

private:
    mutable std::mutex mutex_;
    int status_ = 200;
    std::string body_;
    nlohmann::json last_booking_;
    httplib::Server server_;
    int port_ = 0;
    std::thread thread_;
};

/** Returns an address on which nothing listens any more. */
std::string closed_address()
{
    return fake_instance().address();
}

struct command_result
{
    int code = 0;
    std::string output;
    std::string errors;
};

command_result run(command& target, const std::vector<std::string>& arguments)
{
    std::vector<const char*> argv;
    argv.reserve(arguments.size());
    for (const auto& it : arguments)
        argv.push_back(it.c_str());
    captured_stream output(std::cout);
    captured_stream errors(std::cerr);
    auto code = target.run(argv);
    return {code, output.text(), errors.text()};
}

command_result
book(const std::string& instances, std::vector<std::string> arguments = {})
{
    arguments.insert(
        arguments.end(),
        {"--instances=" + instances, "--service=s", "--key=k", "payload"});
    book_command booking;
    return run(booking, arguments);
}

} // namespace

TEST_CASE("the exit code of a booking is 'failed' only if it did not run")
{
    struct reply_case
    {
        int status;
        const char* body;
        int code;
        int repeat_code;
    };
    const reply_case replies[] = {
        {200, R"({"verdict":"ran"})", 0, 0},
        {200, R"({"result":"booked"})", 0, 0},
        {503, R"({"verdict":"not_run","reason":"no_replica"})", 1, 1},
        {503, R"({"verdict":"not_run","reason":"ticket_expired"})", 1, 1},
        // Any instance may give these reasons, even if an earlier attempt ran.
        {503, R"({"verdict":"not_run","reason":"instance_leaving"})", 1, 3},
        {429, R"({"verdict":"not_run","reason":"rank_limit"})", 1, 3},
        {503, R"({"verdict":"not_run"})", 1, 3},
        {503, R"({"verdict":"may_have_run","reason":"reply_lost"})", 3, 3},
        {500, R"({"verdict":"maybe"})", 3, 3},
        {502, R"({})", 3, 3},
        {500, "not JSON", 3, 3},
        {200, "", 3, 3},
    };
    fake_instance instance;
    for (const auto& it : replies)
    {
        CAPTURE(it.body);
        instance.set_reply(it.status, it.body);
        CHECK(book(instance.address()).code == it.code);
        CHECK(book(instance.address(), {"--ticket=t"}).code == it.repeat_code);
    }
    CHECK(instance.tickets == std::size(replies));
}

TEST_CASE("a booking is sent once if its outcome is unknown")
{
    fake_instance first;
    fake_instance second;
    auto booking_result = book(first.address() + "," + second.address());
    CHECK(booking_result.code == exit_may_have_run);
    CHECK(first.bookings == 1);
    CHECK(second.bookings == 0);
    CHECK(first.last_booking()["ticket"] == "t'1");
    CHECK(
        booking_result.errors.find(R"(--ticket='t'\''1')") !=
        std::string::npos);
}

TEST_CASE("an instance that refuses connections is skipped")
{
    fake_instance instance;
    instance.set_reply(200, R"({"verdict":"ran"})");
    auto closed_instance = closed_address();
    CHECK(book(closed_instance + "," + instance.address()).code == exit_ok);
    CHECK(book(closed_instance).code == exit_failed);
    CHECK(book(closed_instance, {"--ticket=t"}).code == exit_may_have_run);
}

TEST_CASE("the status shows old versions and instances that don't answer")
{
    fake_instance first;
    fake_instance second;
    first.set_reply(200, R"({"version":7,"version_source":"peer"})");
    second.set_reply(200, R"({"version":6,"version_source":"platform"})");
    status_command status;
    auto both_instances =
        "--instances=" + first.address() + "," + second.address();
    auto status_result = run(status, {both_instances});
    CHECK(status_result.code == exit_ok);
    CHECK(
        status_result.output.find("2 different versions are in force") !=
        std::string::npos);
    status_result =
        run(status, {both_instances + "," + closed_address(), "--json"});
    CHECK(status_result.code == exit_failed);
    auto statuses = nlohmann::json::parse(status_result.output);
    REQUIRE(statuses.size() == 3);
    CHECK(statuses[0]["version"] == 7);
    CHECK(statuses[2].contains("error"));
}

TEST_CASE("wrong usage has an exit code of its own and a one-line error")
{
    bundle_check_command check;
    status_command status;
    CHECK(run(check, {}).code == exit_usage);
    CHECK(run(check, {"--jsn", "x"}).code == exit_usage);
    CHECK(run(check, {"/nonexistent"}).code == exit_failed);
    auto usage_result = run(status, {"--instances=localhost:80"});
    CHECK(usage_result.code == exit_usage);
    CHECK(usage_result.errors.find("--instances") == 0);
    CHECK(run(status, {"--help"}).code == exit_ok);
}

TEST_CASE("a table aligns its columns and replaces control characters")
{
    table sample({"name", "n"});
    sample.add({"a", "5"});
    sample.add({"Jos\u00e9", "10"});
    std::ostringstream text;
    sample.write(text);
    CHECK(text.str() == "name   n\na      5\nJos\u00e9  10\n");
    CHECK(cell_text("\x1b[2J") == "?[2J");
    CHECK(cell_text(nullptr) == "-");
}
