#pragma once

#include "member.h"

namespace turmericlane
{

/** What a membership_table asks of its surroundings. Calls come from inside the
    table's own methods; the implementation must not call back into the table.

    @see membership_table
*/
class membership_actions
{
public:
    virtual ~membership_actions() = default;

    /** Sends a message to whatever process listens there. Connects if there is
        no session; a failure needs no report, since the table misses the
        acknowledgement. */
    virtual void
    send(const endpoint& to, const membership_message& message) = 0;

    /** A member was learned or its state changed. */
    virtual void changed(const member& value) = 0;

    /** on_timer came so late that what the instance knows about others is out
        of date: loads, lists, leases and readiness have to be learned again
        before it serves. */
    virtual void paused(duration gap) = 0;
};

} // namespace turmericlane
