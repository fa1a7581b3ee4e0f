#pragma once

#include "dispatch_records.h"

namespace turmericlane
{

/** Evaluates the end of an attempt, for its sub-request and for its server.

    @see dispatch_engine
*/
class attempt_evaluation
{
public:
    /** Returns why the attempt gave no valid answer; reason::none if it did.
        @param sub_request  the sub-request that waits for the reply
        @param snapshot     requested snapshot; 0 for any */
    static reason failure_reason(
        const backend_reply& reply,
        const sub_request_record& sub_request,
        std::uint64_t snapshot);

    /** True if a server may have run an attempt that failed for this cause. */
    static bool may_have_run(reason cause);

    /** Updates the measurements of the attempt's server and group. */
    static void record(
        const attempt_record& attempt,
        const backend_reply& reply,
        time_point now);
};

} // namespace turmericlane
