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

/** Collects what is written to a stream in place of writing it. */
class captured_stream
{
public:
    explicit captured_stream(std::ostream& of)
        : stream_(of)
        , previous_(of.rdbuf(text_.rdbuf()))
    {
    }
    captured_stream(const captured_stream&) = delete;
    captured_stream& operator=(const captured_stream&) = delete;
    ~captured_stream()
    {
        stream_.rdbuf(previous_);
    }
    std::string text() const
    {
        return text_.str();
    }

private:
    std::ostringstream text_;
    std::ostream& stream_;
    std::streambuf* previous_;
};

/** An instance that gives fixed replies on a port of its own. */
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
            [this](const httplib::Request& got, auto& reply)
            {
                ++bookings;
                std::lock_guard lock(mutex_);
                last_booking_ = nlohmann::json::parse(got.body);
                reply.status = status_;
                if (body_.empty())
                    // The connection closes before the stated length.
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

    /** Sets the reply to all but tickets. An empty body stands for a
        connection that closes early. */
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

/** A port on which nothing listens any more. */
std::string closed_address()
{
    return fake_instance().address();
}

struct run_outcome
{
    int code = 0;
    std::string output;
    std::string errors;
};

run_outcome run(command& tested, const std::vector<std::string>& arguments)
{
    std::vector<const char*> list;
    list.reserve(arguments.size());
    for (const auto& it : arguments)
        list.push_back(it.c_str());
    captured_stream output(std::cout);
    captured_stream errors(std::cerr);
    auto code = tested.run(list);
    return {code, output.text(), errors.text()};
}

run_outcome
book(const std::string& instances, std::vector<std::string> more = {})
{
    more.insert(
        more.end(),
        {"--instances=" + instances, "--service=s", "--key=k", "payload"});
    book_command tested;
    return run(tested, more);
}

} // namespace

TEST_CASE("a booking's exit code never calls an unknown outcome not run")
{
    struct expected
    {
        int status;
        const char* body;
        int code;
        int code_of_repeat;
    };
    const expected replies[] = {
        {200, R"({"verdict":"ran"})", 0, 0},
        {200, R"({"result":"booked"})", 0, 0},
        {503, R"({"verdict":"not_run","reason":"no_replica"})", 1, 1},
        {503, R"({"verdict":"not_run","reason":"ticket_expired"})", 1, 1},
        // Any instance may refuse so, whatever the first attempt did.
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
        CHECK(
            book(instance.address(), {"--ticket=t"}).code == it.code_of_repeat);
    }
    CHECK(instance.tickets == std::size(replies));
}

TEST_CASE("a booking whose outcome is unknown is sent once, with its ticket")
{
    fake_instance first;
    fake_instance second;
    auto outcome = book(first.address() + "," + second.address());
    CHECK(outcome.code == exit_may_have_run);
    CHECK(first.bookings == 1);
    CHECK(second.bookings == 0);
    CHECK(first.last_booking()["ticket"] == "t'1");
    CHECK(outcome.errors.find(R"(--ticket='t'\''1')") != std::string::npos);
}

TEST_CASE("an instance that refuses connections is passed over")
{
    fake_instance instance;
    instance.set_reply(200, R"({"verdict":"ran"})");
    auto closed = closed_address();
    CHECK(book(closed + "," + instance.address()).code == exit_ok);
    CHECK(book(closed).code == exit_failed);
    CHECK(book(closed, {"--ticket=t"}).code == exit_may_have_run);
}

TEST_CASE("the status shows instances that lag or don't answer")
{
    fake_instance first;
    fake_instance second;
    first.set_reply(200, R"({"version":7,"version_source":"peer"})");
    second.set_reply(200, R"({"version":6,"version_source":"platform"})");
    status_command tested;
    auto both = "--instances=" + first.address() + "," + second.address();
    auto outcome = run(tested, {both});
    CHECK(outcome.code == exit_ok);
    CHECK(
        outcome.output.find("2 different versions are in force") !=
        std::string::npos);
    outcome = run(tested, {both + "," + closed_address(), "--json"});
    CHECK(outcome.code == exit_failed);
    auto list = nlohmann::json::parse(outcome.output);
    REQUIRE(list.size() == 3);
    CHECK(list[0]["version"] == 7);
    CHECK(list[2].contains("error"));
}

TEST_CASE("wrong usage has its own exit code and one line of explanation")
{
    bundle_check_command check;
    status_command status;
    CHECK(run(check, {}).code == exit_usage);
    CHECK(run(check, {"--jsn", "x"}).code == exit_usage);
    CHECK(run(check, {"/nonexistent"}).code == exit_failed);
    auto outcome = run(status, {"--instances=localhost:80"});
    CHECK(outcome.code == exit_usage);
    CHECK(outcome.errors.find("--instances") == 0);
    CHECK(run(status, {"--help"}).code == exit_ok);
}

TEST_CASE("a table keeps columns aligned and replies out of the terminal")
{
    table tested({"name", "n"});
    tested.add({"a", "5"});
    tested.add({"Jos\u00e9", "10"});
    std::ostringstream text;
    tested.write(text);
    CHECK(text.str() == "name   n\na      5\nJos\u00e9  10\n");
    CHECK(cell_text("\x1b[2J") == "?[2J");
    CHECK(cell_text(nullptr) == "-");
}
