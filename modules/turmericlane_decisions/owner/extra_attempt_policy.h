#pragma once

#include "dispatch_records.h"
#include "token_budget.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

namespace turmericlane
{

/** Decides on extra attempts: when a sub-request is hedged, when an attempt
    times out, when a failed sub-request is retried, and how many hedges and
    retries each rank may use.

    @see dispatch_engine, token_budget
*/
class extra_attempt_policy
{
public:
    extra_attempt_policy();

    /** Refills the budgets of a rank, as a first attempt was sent. */
    void on_first_attempt(rank request_rank, const search_policy& policy);

    /** Takes a token for a retry.
        @returns false if there is none */
    bool try_take_retry_token(rank request_rank);

    /** Takes a token for a hedge.
        @returns false if there is none */
    bool try_take_hedge_token(rank request_rank);

    /** True if try_take_hedge_token would succeed. */
    bool has_hedge_token(rank request_rank) const;

    /** True if another attempt of a failed sub-request may help. */
    bool may_retry(
        const sub_request_record& sub_request,
        const batch_record& batch,
        time_point now) const;

    /** True if a sub-request may get one more hedge, now or later. */
    bool may_hedge(const sub_request_record& sub_request) const;

    /** Returns the time from the last attempt after which a hedge is sent. */
    duration
    hedge_delay(const sub_request_record& sub_request, rank request_rank) const;

    /** Returns the time after which an attempt is given up; duration::max()
        for never. */
    duration attempt_timeout(const sub_request_record& sub_request) const;

    /** Returns when the running attempts of a sub-request have to be checked
        next, at the latest at the deadline.
        @param first_start_time  when the oldest running attempt was sent */
    time_point next_check_time(
        const sub_request_record& sub_request,
        const batch_record& batch,
        time_point first_start_time,
        time_point now) const;

private:
    std::array<token_budget, rank_count> hedge_budgets_;
    std::array<token_budget, rank_count> retry_budgets_;
};

} // namespace turmericlane
