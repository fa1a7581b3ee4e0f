#pragma once

#include "../messages/search_messages.h"

#include <unordered_map>

namespace turmericlane
{

/** What an entry knows of the owners from their replies: when each was last
    heard, and how long the hops to it and back take.

    @see search_engine
*/
class owner_views
{
public:
    /** Any reply of an owner arrived. */
    void on_heard(ordinal owner, time_point now);

    /** A reply arrived after a time that was neither queueing nor service. */
    void on_overhead(ordinal owner, duration extra);

    /** Forgets an owner whose connection is lost. */
    void forget(ordinal owner);

    /** True if the owner was heard after that point. */
    bool heard_since(ordinal owner, time_point point) const;

    /** Measured time of the hops to an owner and back, or the assumed one
        while there is no measurement. */
    duration overhead(ordinal owner, duration assumed) const;

private:
    struct view
    {
        time_point last_heard{};
        duration overhead = duration::min();
    };

    std::unordered_map<ordinal, view> views_;
};

} // namespace turmericlane
