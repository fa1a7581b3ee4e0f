#pragma once

#include "backend_server.h"

namespace turmericlane::standins
{

/** The stand-ins for all backend servers of one bundle, with a control port.

    Control interface, JSON in and out:
    - POST /control/set {"searcher": id | "service": name [, "partition": n] |
      "all": true, ...members of backend_behaviour}: switches behaviour;
      "mark": true starts the counters of a leaving server.
    - POST /control/roll {"snapshot": n, "spread_ms", "overlap_ms"}: every
      server takes up the snapshot at a random moment of the spread, and drops
      the older ones at the end of the overlap that follows it.
    - POST /control/executed {"queries": [...]}: those of the texts that ran.
    - GET /control/journal: bookings in the order in which they ran.
    - GET /control/counters: totals and numbers of each server.

    @see backend_server
*/
class backend_fleet
{
public:
    /** Prepares the control port; the context outlives the fleet. */
    backend_fleet(
        boost::asio::io_context& context,
        std::uint16_t control_port,
        backend_records& records);

    /** Adds a server. Call before open. */
    void add(backend_identity identity, bool zero_work);

    /** Opens all ports. Throws boost::system::system_error if one is taken. */
    void open();

private:
    using session_pointer = std::shared_ptr<http_session>;

    void handle(const session_pointer& session);
    void handle_set(const session_pointer& session, nlohmann::json changes);
    void handle_roll(const session_pointer& session, const nlohmann::json& in);
    void
    handle_executed(const session_pointer& session, const nlohmann::json& in);
    nlohmann::json counters() const;
    /** Removes the members that select servers from the changes. */
    std::vector<backend_server*> select(nlohmann::json& changes) const;
    void run_after(std::chrono::milliseconds delay, std::function<void()> task);

    boost::asio::io_context& context_;
    backend_records& records_;
    std::vector<std::unique_ptr<backend_server>> servers_;
    std::uint64_t newest_ = 1;
    http_server control_;
};

} // namespace turmericlane::standins
