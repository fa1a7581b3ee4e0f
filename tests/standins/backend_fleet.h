#pragma once

#include "backend_server.h"

namespace turmericlane::standins
{

/** Stand-ins for all backend servers of one bundle, with a control port.

    Control interface, with JSON bodies:
    - POST /control/set {"searcher": id | "service": name [, "partition": n] |
      "all": true, ...members of backend_behaviour}: changes the behaviour of
      the selected servers; "mark": true marks them as leaving.
    - POST /control/roll {"snapshot": n, "spread_ms", "overlap_ms"}: every
      server adds the snapshot at a random time within the spread, and drops
      the older ones at the end of the overlap, which follows the spread.
    - POST /control/executed {"queries": [...]}: those of the queries that ran.
    - GET /control/journal: bookings in the order in which they ran.
    - GET /control/counters: totals, and the counters of each server.

    @see backend_server
*/
class backend_fleet
{
public:
    /** Prepares the control port. The context and the records must outlive the
        fleet. */
    backend_fleet(
        boost::asio::io_context& context,
        std::uint16_t control_port,
        backend_records& records);

    /** Adds a server; only before open. */
    void add(backend_identity identity, bool zero_work);

    /** Opens all ports. Throws boost::system::system_error if one is in use. */
    void open();

private:
    using session_pointer = std::shared_ptr<http_session>;

    void handle(const session_pointer& session);
    void handle_set(const session_pointer& session, nlohmann::json changes);
    void
    handle_roll(const session_pointer& session, const nlohmann::json& body);
    void
    handle_executed(const session_pointer& session, const nlohmann::json& body);
    nlohmann::json counters() const;
    /** Returns the servers that the changes select, and removes the members
        that select them. */
    std::vector<backend_server*> take_selection(nlohmann::json& changes) const;
    void run_after(std::chrono::milliseconds delay, std::function<void()> task);

    boost::asio::io_context& context_;
    backend_records& records_;
    std::vector<std::unique_ptr<backend_server>> servers_;
    std::uint64_t newest_snapshot_ = 1;
    http_server control_;
};

} // namespace turmericlane::standins
