#pragma once

#include "../messages/search_messages.h"

namespace turmericlane
{

/** Identifies an attempt at a backend server within one owner. */
using attempt_id = std::uint64_t;

/** Receives the actions of a group_dispatcher. The dispatcher calls these
    methods from inside its own; the implementation must not call back into the
    dispatcher.

    @see group_dispatcher
*/
class owner_actions
{
public:
    virtual ~owner_actions() = default;

    /** Sends a request to a backend server. The implementation reports its end
        exactly once by group_dispatcher::on_backend_reply, also after
        cancel_attempt. */
    virtual void
    start_attempt(attempt_id id, const backend_request& request) = 0;

    /** Cancels an attempt and tells the server so. */
    virtual void cancel_attempt(attempt_id id) = 0;

    /** Sends the answer for one group to an entry. */
    virtual void reply(ordinal entry, const shard_reply& reply) = 0;
};

} // namespace turmericlane
