#pragma once

#include "../messages/search_messages.h"

namespace turmericlane
{

/** What a search_coordinator asks of its surroundings. Calls come from inside
    the coordinator's own methods; the implementation must not call back into
    the coordinator.

    @see search_coordinator
*/
class entry_actions
{
public:
    virtual ~entry_actions() = default;

    /** Sends a batch to the instance with that ordinal, which may be this
        one. A loss shows later as search_coordinator::on_owner_lost. */
    virtual void send_batch(ordinal owner, const search_batch& batch) = 0;

    /** Tells an owner that a query's remaining parts are not wanted. */
    virtual void send_cancel(ordinal owner, query_id id) = 0;

    /** Hands the final answer to the caller; called once for each query. */
    virtual void finish(const search_answer& answer) = 0;
};

/** Which instances can be used as owners now.

    @see owner_map
*/
class owner_directory
{
public:
    virtual ~owner_directory() = default;

    /** True if the instance with that ordinal is live in this view, this
        instance included. */
    virtual bool usable(ordinal owner) const = 0;
};

} // namespace turmericlane
