#pragma once

#include "../check/answer_checker.h"

#include <string>

namespace turmericlane::bench
{

/** Figures of one rank of a run. Queries of the first second are left out. */
struct rank_result
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    double p50_ms = 0.0;
    double p99_ms = 0.0;
    /** Mean over the answered. */
    double coverage = 0.0;
    /** Sub-requests that were sent, and pairs of a query and a group among
        them. */
    std::uint64_t sub_requests = 0;
    std::uint64_t needed = 0;
    /** Sub-requests beyond the first for each group, as a share. */
    double extra_load = 0.0;
    /** Mean coverage of the grouped services over the queries that were sent
        more than 1 s after the replica loss; 1 without one. */
    double coverage_after_loss = 1.0;
    /** Answered groups as a share of what the slots could answer: of the
        busiest service, and of the busiest grouped service. */
    double busiest_share = 0.0;
    double grouped_share = 0.0;
};

/** Figures of one run. */
struct run_result
{
    std::string deployment;
    std::string scenario;
    std::string variant;
    std::array<rank_result, rank_count> ranks;
    violation_counts violations{};
    std::uint64_t total_violations = 0;
    /** One for each query, in the order in which they were sent. */
    std::vector<query_record> records;
};

} // namespace turmericlane::bench
