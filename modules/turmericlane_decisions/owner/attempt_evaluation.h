#pragma once

#include "dispatch_records.h"

namespace turmericlane
{

/** What the end of an attempt says: about the part, and about the server.

    @see dispatch_engine
*/
class attempt_evaluation
{
public:
    /** Why the attempt gave no answer; reason::none if it did.
        @param part      the part that waits for it
        @param snapshot  snapshot that the part asks for, or 0 */
    static reason failure(
        const backend_reply& reply,
        const sub_request_record& part,
        std::uint64_t snapshot);

    /** Whether a server that ended an attempt in that way may have run it. */
    static bool may_have_run(reason why);

    /** Records what the end of an attempt shows about its server. */
    static void measure(
        const attempt_record& attempt,
        const backend_reply& reply,
        time_point now);
};

} // namespace turmericlane
