#pragma once

#include <turmericlane_gateway/turmericlane_gateway.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericlane::tests
{

/** Names for the tests; any will do. */
protocol_names test_names();

/** An address of the loopback interface that only this process uses, so that
    sockets of tests that run at the same time can't take its ports. */
const std::string& own_address();

/** A port of own_address() that this process has not been given before. */
std::uint16_t next_port();

/** Runs a loop until a condition holds; gives up after many seconds, so that a
    failure shows as such. */
bool run_until(event_context& loop, const std::function<bool()>& condition);

/** A searcher on the loopback interface whose answers a test scripts. */
class standin_searcher : private session_handler
{
public:
    /** Answers a request on the session, now or later, or not at all. */
    using script = std::function<void(
        const std::shared_ptr<caller_session>&, const caller_request&)>;

    standin_searcher(
        event_context& loop, const clock& time, std::string id, script how);

    /** The entry that it would publish. */
    searcher_entry entry(const std::string& service) const;

    /** Closes its listening socket. */
    void stop();

    std::vector<caller_request> requests;
    std::size_t callers_left = 0;

private:
    void on_request(
        const std::shared_ptr<caller_session>& from,
        caller_request&& request) override;
    void on_caller_left(caller_session& from) override;
    void on_bad_request(unsigned status) override;
    const caller_limits& limits() const override;
    bool closing() const override;

    std::string id_;
    script script_;
    caller_limits limits_;
    std::uint16_t port_;
    http_listener listener_;
};

/** A signed answer with records. */
standin_searcher::script signed_answer(std::string signature, std::string body);

/** A caller's connection, for one request at a time. */
class standin_caller : private client_listener
{
public:
    standin_caller(event_context& loop, std::uint16_t port);
    ~standin_caller() override;

    /** Sends a text as it is once the connection is open. */
    void send(std::string text);

    /** Closes the connection. */
    void leave();

    std::optional<server_response> response;
    bool ended = false;

private:
    void on_open(client_connection& from) override;
    void on_response(client_connection& from, server_response&& got) override;
    void on_end(client_connection& from, connection_end why) override;

    std::string text_;
    std::shared_ptr<client_connection> connection_;
};

} // namespace turmericlane::tests
