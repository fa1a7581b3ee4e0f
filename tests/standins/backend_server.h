#pragma once

#include "backend_behaviour.h"
#include "backend_counters.h"
#include "backend_records.h"
#include "http_server.h"

#include <deque>

namespace turmericlane::standins
{

/** What the bundle states about a backend server. */
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

/** Stand-in for one backend server: a FIFO queue and a number of slots that run
    its requests, on a port of its own, with the protocol of section 6 of the
    design.

    Where the design leaves the status open, a cancelled request gets 499
    cancelled and an unknown path 404. To be used on the thread of the I/O
    context only.

    @see backend_fleet
*/
class backend_server
{
public:
    /** Prepares a server; open starts it. The context and the records must
        outlive it.
        @param zero_work  true if requests run without service time */
    backend_server(
        boost::asio::io_context& context,
        backend_identity identity,
        backend_records& records,
        bool zero_work);

    /** Starts to accept connections. Throws boost::system::system_error if the
        port is in use. */
    void open();

    /** Changes the behaviour; if connections were refused and no longer are, a
        cold start begins.
        @returns the name of the first invalid member, or nothing */
    std::optional<std::string> change(const nlohmann::json& changes);

    /** Adds a snapshot, which is served beside the older ones. */
    void add_snapshot(std::uint64_t snapshot);

    /** Stops to serve the snapshots below this one. */
    void drop_snapshots_below(std::uint64_t snapshot);

    /** Marks the server as leaving from now on. Only counters depend on it. */
    void mark_leaving();

    const backend_identity& identity() const noexcept;

    const backend_counters& counters() const noexcept;

    /** Returns identity, connections, load and counters. */
    nlohmann::json report() const;

private:
    using clock = std::chrono::steady_clock;

    /** A request in the queue or in a slot. */
    struct pending_request
    {
        explicit pending_request(boost::asio::io_context& context)
            : timer(context)
        {
        }

        std::shared_ptr<http_session> session;
        std::string request_id;
        std::string query;
        std::uint32_t limit = 10;
        std::uint64_t snapshot = 0;
        bool is_booking = false;
        bool is_running = false;
        clock::time_point deadline;
        /** Expires at the deadline while the request waits, and at the end of
            its service time while it runs. */
        boost::asio::steady_timer timer;
    };
    using request_pointer = std::shared_ptr<pending_request>;

    /** Closes the port and discards all requests, as a crash does. */
    void stop();
    void handle(const std::shared_ptr<http_session>& session);
    void handle_search(const std::shared_ptr<http_session>& session);
    void handle_booking(const std::shared_ptr<http_session>& session);
    void handle_cancel(const std::shared_ptr<http_session>& session);
    void count_after_mark();
    /** Rejects a request with 503 if the server is draining or sheds load.
        @returns true if it was rejected */
    bool reject_if_busy(http_session& session);
    request_pointer make_request(const std::shared_ptr<http_session>& session);
    void enqueue(const request_pointer& request);
    void start_queued();
    void run(const request_pointer& request);
    void finish(const request_pointer& request);
    /** Ends a request that waits or runs, with an error as its reply.
        @returns false if it had ended already */
    bool end_with_error(
        const request_pointer& request,
        unsigned status,
        const char* reason_name);
    void send_answer(const pending_request& request);
    double service_time_factor();
    nlohmann::json current_load() const;
    nlohmann::json load_report();
    void reply_error(
        http_session& session, unsigned status, const char* reason_name);

    boost::asio::io_context& context_;
    backend_identity identity_;
    backend_records& records_;
    bool zero_work_;
    backend_behaviour behaviour_;
    backend_counters counters_;
    std::uint64_t oldest_snapshot_ = 1;
    std::uint64_t newest_snapshot_ = 1;
    std::deque<request_pointer> queue_;
    std::vector<request_pointer> running_;
    std::optional<clock::time_point> mark_time_;
    clock::time_point cold_start_end_{};
    nlohmann::json last_load_;
    clock::time_point last_load_time_{};
    http_server server_;
};

} // namespace turmericlane::standins
