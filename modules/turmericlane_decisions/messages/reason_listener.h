#pragma once

#include <turmericlane_core/turmericlane_core.h>

namespace turmericlane
{

/** Observes each refusal, retry, hedge and dropped reply, so that the daemon
    can count them.

    @see search_coordinator, group_dispatcher
*/
class reason_listener
{
public:
    virtual ~reason_listener() = default;

    /** A query or sub-request was refused, or a message was dropped. */
    virtual void on_refusal(reason cause, rank request_rank) = 0;

    /** Sub-requests are sent again after a failure with that cause. */
    virtual void on_retry(reason cause, rank request_rank) = 0;

    /** A second attempt is sent beside one that is still running. */
    virtual void on_hedge(rank request_rank) = 0;
};

} // namespace turmericlane
