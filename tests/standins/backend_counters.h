#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>

namespace turmericlane::standins
{

/** Counters of one backend server.

    @see backend_server
*/
struct backend_counters
{
    /** Searches received, whether they got a reply or not. */
    std::uint64_t received = 0;
    /** Searches received that were the first of their query and group, that is
        without retries and hedges. */
    std::uint64_t needed = 0;
    std::array<std::uint64_t, rank_count> received_by_rank{};
    std::uint64_t executed = 0;
    std::uint64_t bookings_received = 0;
    std::uint64_t bookings_executed = 0;
    std::uint64_t shed = 0;
    std::uint64_t snapshot_gone = 0;
    std::uint64_t deadline_passed = 0;
    std::uint64_t cancels = 0;
    /** Requests in the queue or running that a cancel ended. */
    std::uint64_t cancelled = 0;
    /** Requests that were not run because their connection was closed. */
    std::uint64_t abandoned = 0;
    std::uint64_t replies_lost = 0;
    std::size_t peak_queue = 0;
    /** Requests received after the server was marked as leaving, those of them
        more than 3 s after the mark, and the time from it to the last one. */
    std::uint64_t after_mark = 0;
    std::uint64_t after_mark_3s = 0;
    std::int64_t last_after_mark_ms = 0;

    /** Adds the counters of another server; peaks and times become the greater
        of both. */
    void add(const backend_counters& other);

    /** Returns all counters as a JSON object. */
    nlohmann::json to_json() const;
};

} // namespace turmericlane::standins
