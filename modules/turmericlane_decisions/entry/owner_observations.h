#pragma once

#include "../messages/search_messages.h"

#include <unordered_map>

namespace turmericlane
{

/** What an entry learns about the owners from their replies: when each one
    replied last, and how long the hops to it and back take.

    @see search_engine
*/
class owner_observations
{
public:
    /** Records that an owner sent any reply. */
    void on_reply(ordinal owner, time_point now);

    /** Records the part of a response time that was neither queueing nor
        service time. */
    void on_overhead(ordinal owner, duration sample);

    /** Forgets an owner whose connection is lost. */
    void forget(ordinal owner);

    /** True if the owner replied after that time. */
    bool has_replied_since(ordinal owner, time_point earlier) const;

    /** Returns the measured time of the hops to an owner and back, or the
        default if there is no measurement. */
    duration overhead(ordinal owner, duration default_overhead) const;

private:
    struct observation
    {
        time_point last_reply{};
        /** Moving average; duration::min() before the first sample. */
        duration overhead = duration::min();
    };

    std::unordered_map<ordinal, observation> observations_;
};

} // namespace turmericlane
