#pragma once

#include "../check/answer_checker.h"

#include <string>

namespace turmericlane::bench
{

/** Results of one rank of a run, without the queries of the first second. */
struct rank_result
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    double p50_ms = 0.0;
    double p99_ms = 0.0;
    /** Mean coverage of the answered queries. */
    double coverage = 0.0;
    /** Number of sub-requests that were sent. */
    std::uint64_t sub_requests = 0;
    /** Number of pairs of a query and a group with at least one sub-request. */
    std::uint64_t needed_groups = 0;
    /** Sub-requests beyond the first one per group, as a share of these. */
    double extra_load = 0.0;
    /** Mean coverage of the replicated services for queries that were sent at
        least 1 s after the loss of the replicas; 1 without a loss. */
    double coverage_after_loss = 1.0;
    /** Answered groups of the busiest service as a share of what its slots
        could answer. */
    double busiest_share = 0.0;
    /** The same share for the busiest replicated service. */
    double replicated_share = 0.0;
};

/** Results of one run. */
struct run_result
{
    std::string deployment;
    std::string scenario;
    std::string variant;
    std::array<rank_result, rank_count> ranks;
    violation_counts violations{};
    std::uint64_t total_violations = 0;
    /** Records of the queries in the order in which they were sent. */
    std::vector<query_record> records;
};

} // namespace turmericlane::bench
