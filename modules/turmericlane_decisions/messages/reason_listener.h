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

    /** A query or sub-request was refused or a message dropped. */
    virtual void refused(reason why, rank work) = 0;

    /** A sub-request is sent again because the last one failed. */
    virtual void retried(reason why, rank work) = 0;

    /** A second copy of a slow sub-request is sent. */
    virtual void hedged(rank work) = 0;
};

} // namespace turmericlane
