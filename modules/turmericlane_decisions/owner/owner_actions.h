#pragma once

#include "../messages/search_messages.h"

namespace turmericlane
{

/** Identifies one request to a backend server within an owner. */
using attempt_id = std::uint64_t;

/** What a group_dispatcher asks of its surroundings. Calls come from inside
    the dispatcher's own methods; the implementation must not call back into
    the dispatcher.

    @see group_dispatcher
*/
class owner_actions
{
public:
    virtual ~owner_actions() = default;

    /** Sends a request to a backend server. Its end is reported by
        group_dispatcher::on_backend_reply exactly once, also after a cancel. */
    virtual void
    start_attempt(attempt_id id, const backend_request& request) = 0;

    /** Asks to give up an attempt; the server is told to cancel. */
    virtual void cancel_attempt(attempt_id id) = 0;

    /** Answers an entry for one group. */
    virtual void reply(ordinal entry, const shard_reply& reply) = 0;
};

} // namespace turmericlane
