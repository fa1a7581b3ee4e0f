#pragma once

#include "../model/scenario.h"
#include "run_result.h"

namespace turmericlane::bench
{

/** Returns the share of sub-requests beyond the first one per group; 0 if no
    group was needed. */
double extra_load_share(
    std::uint64_t sub_requests, std::uint64_t needed_groups) noexcept;

/** Computes the results of a run from its query records. */
class statistics
{
public:
    /** The deployment and the scenario must outlive this object. */
    statistics(
        const deployment& selected_deployment,
        const scenario& selected_scenario,
        time_point start);

    /** Computes the figures of each rank from the records in `result`. */
    void fill_figures(run_result& result) const;

private:
    rank_result rank_figures(
        const std::vector<query_record>& records, rank query_rank) const;
    double coverage_after_loss(
        const std::vector<query_record>& records, rank query_rank) const;
    double slot_share(
        const std::vector<query_record>& records,
        rank query_rank,
        std::uint32_t service) const;

    const deployment& deployment_;
    const scenario& scenario_;
    time_point start_;
};

} // namespace turmericlane::bench
