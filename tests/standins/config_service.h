#pragma once

#include "http_server.h"

#include <map>

namespace turmericlane::standins
{

/** Stand-in for the configuration service: GET /v1/bundle?after=V&wait_ms=N
    answers with the newest envelope above V, or 204 at the end of the wait.

    It counts reads; those above the budget of a second are refused with 503.
    Test side:
    - PUT /control/bundle, body envelope: publishes it.
    - PUT /control/mode {"mode": "up" | "down" | "silent" | "stale",
      "version": V}: answers as usual, answers 503, never answers, or knows no
      version above V. With "push": true the stale service answers with its
      old version whatever the reader has.
    - GET /control/reads: the numbers of reads.

    All on the thread of the I/O context.
*/
class config_service
{
public:
    /** Prepares the port; open starts it. */
    config_service(
        boost::asio::io_context& context,
        std::uint16_t port,
        std::uint64_t reads_per_second);

    /** Starts to accept. Throws boost::system::system_error if the port is
        taken. */
    void open();

private:
    using session_pointer = std::shared_ptr<http_session>;
    using clock = std::chrono::steady_clock;

    enum class mode
    {
        up,
        down,
        silent,
        stale
    };

    /** A long poll that waits for a version. */
    struct waiter
    {
        session_pointer session;
        std::uint64_t after = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void handle(const session_pointer& session);
    void handle_read(const session_pointer& session);
    void handle_publish(const session_pointer& session);
    void handle_mode(const session_pointer& session);
    /** Counts a read. Returns false if it is above the budget. */
    bool count_read();
    /** Answers if there is something to say now. */
    bool try_answer(const session_pointer& session, std::uint64_t after);
    void answer_waiters();
    void end_wait(const std::shared_ptr<boost::asio::steady_timer>& timer);
    void reply_reads(const session_pointer& session) const;

    boost::asio::io_context& context_;
    std::uint64_t reads_per_second_;
    std::map<std::uint64_t, std::string> envelopes_;
    std::vector<waiter> waiters_;
    mode mode_ = mode::up;
    std::uint64_t stale_version_ = 0;
    bool stale_push_ = false;
    std::uint64_t reads_ = 0;
    std::uint64_t over_budget_ = 0;
    std::uint64_t peak_per_second_ = 0;
    std::uint64_t reads_this_second_ = 0;
    clock::time_point second_began_{};
    http_server server_;
};

} // namespace turmericlane::standins
