#pragma once

#include "member.h"

namespace turmericlane
{

/** Output interface of a membership_table. Its methods are called from inside
    the table's methods; an implementation must not call back into the table.

    @see membership_table
*/
class membership_actions
{
public:
    virtual ~membership_actions() = default;

    /** Sends a message to the process that listens on an endpoint, and connects
        first if there is no session. A failure need not be reported: the table
        notices that the acknowledgement is missing. */
    virtual void
    send(const endpoint& destination, const membership_message& message) = 0;

    /** Called when a member became known or its record changed. */
    virtual void on_member_changed(const member& record) = 0;

    /** Called when the process did not run for so long that what it knows about
        other instances is out of date. Loads, lists, leases and readiness have
        to be refreshed before it serves.
        @param gap  time since the table was last called */
    virtual void on_process_paused(duration gap) = 0;
};

} // namespace turmericlane
