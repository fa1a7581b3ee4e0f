#pragma once

#include "../messages/search_messages.h"

namespace turmericlane
{

/** The actions that a search_coordinator asks for. It calls them from inside
    its own methods; the implementation must not call back into it.

    @see search_coordinator
*/
class entry_actions
{
public:
    virtual ~entry_actions() = default;

    /** Sends a batch to the instance with that ordinal, which may be this
        one. A loss is reported later by search_coordinator::on_owner_lost. */
    virtual void send_batch(ordinal owner, const search_batch& batch) = 0;

    /** Tells an owner that the remaining sub-requests of a query are no longer
        needed. */
    virtual void send_cancel(ordinal owner, query_id id) = 0;

    /** Returns the final answer to the caller; called once for each query. */
    virtual void finish(const search_answer& answer) = 0;
};

/** Tells which instances can be used as owners now.

    @see owner_map
*/
class owner_directory
{
public:
    virtual ~owner_directory() = default;

    /** True if this instance considers the instance with that ordinal live;
        the ordinal may be its own. */
    virtual bool is_usable(ordinal owner) const = 0;
};

} // namespace turmericlane
