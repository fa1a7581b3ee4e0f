#pragma once

#include "violation.h"

#include <turmericlane_core/turmericlane_core.h>

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <mutex>
#include <vector>

namespace turmericlane::load
{

/** How one search ended. */
struct search_outcome
{
    rank work = rank::ordinary;
    /** Name of the verdict; empty if no reply came. */
    std::string verdict;
    std::string reason;
    std::chrono::duration<double, std::milli> latency{0};
    std::chrono::duration<double, std::milli> deadline{0};
    std::uint64_t snapshot = 0;
    double coverage = 0.0;
    std::uint64_t groups_needed = 0;
    std::uint64_t sub_requests_sent = 0;
    /** Attempts that found no connection. */
    std::uint32_t not_connected = 0;
    /** Attempts that were sent and whose reply did not come. */
    std::uint32_t lost = 0;
    std::vector<violation_record> violations;
};

/** How one booking ended. */
struct booking_outcome
{
    /** No ticket could be had. */
    bool no_ticket = false;
    /** "verdict/reason" of each reply, in order; "lost" for a missing one. */
    std::vector<std::string> replies;
    std::vector<violation_record> violations;
};

/** Collects how the requests of a run ended, and prints it. Any thread may
    call.
*/
class load_report
{
public:
    /** Adds a search. */
    void add(const search_outcome& ended);

    /** Adds a booking. */
    void add(const booking_outcome& ended);

    /** Adds broken promises that were found after the run. */
    void add(const std::vector<violation_record>& found);

    /** Counts a request that began late because all threads were busy. */
    void add_late_start();

    /** Counts a request that was left out because all threads were busy. */
    void add_not_sent();

    /** States how many bookings the journal has. */
    void set_executed_bookings(std::uint64_t executed);

    /** Searches that were answered. */
    std::uint64_t answered() const;

    /** Broken promises. */
    std::uint64_t violations() const;

    /** The report as a JSON object. */
    nlohmann::json to_json() const;

    /** The report as tables. */
    std::string to_table() const;

private:
    /** Numbers of one rank. */
    struct rank_numbers
    {
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        std::uint64_t complete = 0;
        std::uint64_t unanswered = 0;
        std::uint64_t late = 0;
        std::uint64_t not_connected = 0;
        std::uint64_t lost = 0;
        std::uint64_t violations = 0;
        std::uint64_t groups_needed = 0;
        std::uint64_t sub_requests_sent = 0;
        double coverage_sum = 0.0;
        std::vector<double> latencies_ms;
        std::map<std::string, std::uint64_t> refused;
    };

    void add_unlocked(const std::vector<violation_record>& found);

    mutable std::mutex mutex_;
    std::array<rank_numbers, rank_count> ranks_;
    std::array<std::uint64_t, violation_count> violations_{};
    std::vector<std::string> examples_;
    std::uint64_t late_starts_ = 0;
    std::uint64_t not_sent_ = 0;
    /** Answers by snapshot. */
    std::map<std::uint64_t, std::uint64_t> snapshots_;
    std::uint64_t bookings_ = 0;
    std::uint64_t bookings_without_ticket_ = 0;
    std::uint64_t bookings_executed_ = 0;
    std::map<std::string, std::uint64_t> booking_replies_;
};

} // namespace turmericlane::load
