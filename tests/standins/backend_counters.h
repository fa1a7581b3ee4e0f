#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>

namespace turmericlane::standins
{

/** What one backend server counted.

    @see backend_server
*/
struct backend_counters
{
    /** Searches received, answered or not. */
    std::uint64_t received = 0;
    /** The part of it that was the first of its query and group: what would
        have been received without retries and hedges. */
    std::uint64_t needed = 0;
    std::array<std::uint64_t, rank_count> received_by_rank{};
    std::uint64_t executed = 0;
    std::uint64_t bookings_received = 0;
    std::uint64_t bookings_executed = 0;
    std::uint64_t shed = 0;
    std::uint64_t snapshot_gone = 0;
    std::uint64_t deadline_passed = 0;
    std::uint64_t cancels = 0;
    /** Cancels that ended queued or running work. */
    std::uint64_t cancelled = 0;
    /** Work that ended because its connection was closed. */
    std::uint64_t abandoned = 0;
    std::uint64_t replies_lost = 0;
    std::size_t peak_queue = 0;
    /** Work received after the server was marked as leaving, the part of it
        that came more than 3 s after that, and the time of the last. */
    std::uint64_t after_mark = 0;
    std::uint64_t after_mark_3s = 0;
    std::int64_t last_after_mark_ms = 0;

    /** Adds the numbers of another server; peaks become the greater one. */
    void add(const backend_counters& other);

    /** Returns all numbers as a JSON object. */
    nlohmann::json to_json() const;
};

} // namespace turmericlane::standins
