#pragma once

#include "dispatch_records.h"
#include "token_budget.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

namespace turmericlane
{

/** The rules for second attempts: when a part is hedged, when an attempt is
    given up, when a failed part is retried, and the budgets of both.

    @see dispatch_engine, token_budget
*/
class extra_attempt_policy
{
public:
    extra_attempt_policy();

    /** A first attempt was sent and pays for later ones. */
    void on_first(rank work, const search_policy& policy);

    /** Takes a token for a retry. */
    bool try_retry(rank work);

    /** Takes a token for a hedge. */
    bool try_hedge(rank work);

    /** True if try_hedge would succeed. */
    bool can_hedge(rank work) const;

    /** True if another attempt of a failed part may help. */
    bool may_retry(
        const sub_request_record& part,
        const batch_record& batch,
        time_point now) const;

    /** True if a part may get one more hedge at some time. */
    bool may_hedge(const sub_request_record& part) const;

    /** Time from the last attempt after which a hedge is sent. */
    duration hedge_delay(const sub_request_record& part, rank work) const;

    /** Time after which an attempt is given up. */
    duration attempt_timeout(const sub_request_record& part) const;

    /** When the running attempts of a part want to be looked at next. */
    time_point next_check(
        const sub_request_record& part,
        const batch_record& batch,
        time_point first_started,
        time_point now) const;

private:
    std::array<token_budget, rank_count> hedges_;
    std::array<token_budget, rank_count> retries_;
};

} // namespace turmericlane
