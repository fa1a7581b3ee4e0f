#pragma once

#include "backend_behaviour.h"
#include "backend_counters.h"
#include "backend_records.h"
#include "http_server.h"

#include <deque>

namespace turmericlane::standins
{

/** What a backend server is, from the bundle. */
struct backend_identity
{
    std::uint32_t id = 0;
    std::string address;
    std::uint16_t port = 0;
    std::string service;
    std::uint32_t partition = 0;
    std::uint64_t epoch = 0;
    std::uint32_t slots = 1;
    std::uint32_t connection_limit = 1;
    std::chrono::microseconds connect_cost{0};
    bool bookable = false;
};

/** Stand-in for one backend server: slots with a FIFO queue behind them, on
    a port of its own, with the protocol of section 6 of the design.

    Status codes that the design leaves open: a cancelled request is answered
    with 499 cancelled, an unknown path with 404. All on the thread of the I/O
    context.

    @see backend_fleet
*/
class backend_server
{
public:
    /** Prepares a server; open starts it. The records outlive it.
        @param zero_work  requests run without service time */
    backend_server(
        boost::asio::io_context& context,
        backend_identity identity,
        backend_records& records,
        bool zero_work);

    /** Starts to accept connections. Throws boost::system::system_error if the
        port is taken. */
    void open();

    /** Applies changed behaviour; starts or stops to refuse connections.
        @returns nothing on success, otherwise the member at fault */
    std::optional<std::string> change(const nlohmann::json& changes);

    /** Serves one more snapshot beside the older ones. */
    void add_snapshot(std::uint64_t snapshot);

    /** Ends to serve snapshots below this one. */
    void drop_snapshots_below(std::uint64_t snapshot);

    /** Marks the server as leaving from now on, for the counters alone. */
    void mark_leaving();

    /** Identity that was given. */
    const backend_identity& identity() const noexcept;

    /** What was counted up to now. */
    const backend_counters& counters() const noexcept;

    /** State and counters. */
    nlohmann::json report() const;

private:
    using clock = std::chrono::steady_clock;

    /** A request in the queue or in a slot. */
    struct work
    {
        explicit work(boost::asio::io_context& context)
            : timer(context)
        {
        }

        std::shared_ptr<http_session> session;
        std::string request_id;
        std::string query;
        std::uint32_t limit = 10;
        std::uint64_t snapshot = 0;
        bool booking = false;
        bool running = false;
        clock::time_point deadline;
        /** Ends the wait at the deadline, or the service time. */
        boost::asio::steady_timer timer;
    };
    using work_pointer = std::shared_ptr<work>;

    /** Closes the port and forgets all work, as a crash does. */
    void stop();
    void handle(const std::shared_ptr<http_session>& session);
    void handle_search(const std::shared_ptr<http_session>& session);
    void handle_booking(const std::shared_ptr<http_session>& session);
    void handle_cancel(const std::shared_ptr<http_session>& session);
    void count_after_mark();
    /** Refuses with 503 if the server drains or sheds. */
    bool refuse_new_work(http_session& session);
    work_pointer make_work(const std::shared_ptr<http_session>& session);
    void enqueue(const work_pointer& added);
    void start_next();
    void run(const work_pointer& started);
    void finish(const work_pointer& ended);
    /** Ends queued or running work with an error.
        @returns false if it had ended before */
    bool give_up(const work_pointer& ended, unsigned status, const char* why);
    void answer(const work& done);
    double speed_factor();
    nlohmann::json load_now() const;
    nlohmann::json load_report();
    void reply_error(http_session& session, unsigned status, const char* why);

    boost::asio::io_context& context_;
    backend_identity identity_;
    backend_records& records_;
    bool zero_work_;
    backend_behaviour behaviour_;
    backend_counters counters_;
    std::uint64_t oldest_ = 1;
    std::uint64_t newest_ = 1;
    std::deque<work_pointer> queue_;
    std::vector<work_pointer> running_;
    std::optional<clock::time_point> marked_at_;
    clock::time_point cold_until_{};
    nlohmann::json last_load_;
    clock::time_point last_load_at_{};
    http_server server_;
};

} // namespace turmericlane::standins
