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

/** Outcome of one search. */
struct search_outcome
{
    rank request_rank = rank::ordinary;
    /** Name of the verdict; empty if no reply came. */
    std::string verdict;
    std::string reason;
    std::chrono::duration<double, std::milli> latency{0};
    std::chrono::duration<double, std::milli> deadline{0};
    std::uint64_t snapshot = 0;
    double coverage = 0.0;
    std::uint64_t groups_needed = 0;
    std::uint64_t sub_requests_sent = 0;
    /** Number of attempts for which no connection could be opened. */
    std::uint32_t unconnected_attempts = 0;
    /** Number of attempts that may have been sent and got no reply. */
    std::uint32_t lost_attempts = 0;
    std::vector<violation_record> violations;
};

/** Outcome of one booking. */
struct booking_outcome
{
    /** True if no ticket was issued. */
    bool has_no_ticket = false;
    /** "verdict/reason" of each reply, in order; the verdict of a missing reply
        is "lost". */
    std::vector<std::string> replies;
    std::vector<violation_record> violations;
};

/** Collects the outcomes of the requests of a run and reports them.
    Thread-safe.
*/
class load_report
{
public:
    /** Adds the outcome of a search. */
    void add(const search_outcome& outcome);

    /** Adds the outcome of a booking. */
    void add(const booking_outcome& outcome);

    /** Adds violations that were found after the run. */
    void add(const std::vector<violation_record>& violations_found);

    /** Counts a request that was sent late because all threads were busy. */
    void add_late_start();

    /** Counts a request that was skipped because all threads were busy. */
    void add_not_sent();

    /** Sets the number of bookings in the journal of the stand-ins. */
    void set_executed_bookings(std::uint64_t count);

    /** Returns the number of answered searches. */
    std::uint64_t answered_count() const;

    /** Returns the number of violations. */
    std::uint64_t total_violations() const;

    /** Returns the report as a JSON object. */
    nlohmann::json to_json() const;

    /** Returns the report as text tables. */
    std::string to_table() const;

private:
    /** Counters of one rank. */
    struct rank_counters
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

    void add_unlocked(const std::vector<violation_record>& violations_found);

    mutable std::mutex mutex_;
    std::array<rank_counters, rank_count> ranks_;
    std::array<std::uint64_t, violation_count> violations_{};
    std::vector<std::string> violation_examples_;
    std::uint64_t late_starts_ = 0;
    std::uint64_t not_sent_ = 0;
    /** Number of answers by snapshot. */
    std::map<std::uint64_t, std::uint64_t> snapshots_;
    std::uint64_t bookings_ = 0;
    std::uint64_t bookings_without_ticket_ = 0;
    std::uint64_t bookings_executed_ = 0;
    std::map<std::string, std::uint64_t> booking_replies_;
};

} // namespace turmericlane::load
