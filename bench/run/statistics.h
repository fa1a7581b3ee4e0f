#pragma once

#include "../model/scenario.h"
#include "run_result.h"

namespace turmericlane::bench
{

/** Extra load as a share; 0 if nothing was needed. */
double extra(std::uint64_t sub_requests, std::uint64_t needed) noexcept;

/** Computes the figures of a run from its query records. */
class statistics
{
public:
    /** The deployment and the scenario must outlive the object. */
    statistics(const deployment& of, const scenario& what, time_point start);

    /** Fills the figures of each rank from the records of a result. */
    void fill(run_result& result) const;

private:
    rank_result figures(const std::vector<query_record>& all, rank work) const;
    double
    coverage_after_loss(const std::vector<query_record>& all, rank work) const;
    double share(
        const std::vector<query_record>& all,
        rank work,
        std::uint32_t service) const;

    const deployment& deployment_;
    const scenario& scenario_;
    time_point start_;
};

} // namespace turmericlane::bench
