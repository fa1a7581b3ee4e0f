#pragma once

#include "member.h"

#include <map>
#include <optional>
#include <span>

namespace turmericlane
{

/** The platform's instance list as last read; the list lags behind.

    An entry counts as leaving from the time of the read that first said so.
    What the process itself says after that time overrules the list.

    @see membership_table
*/
class instance_list
{
public:
    /** Replaces the list; the entry of this instance is left out. */
    void replace(
        std::span<const listed_instance> entries,
        const endpoint& self,
        time_point now);

    /** Returns when an endpoint was first listed as leaving; nullopt if it is
        not listed as leaving. */
    std::optional<time_point>
    leaving_since(const endpoint& peer_endpoint) const;

    /** Returns the listed endpoints that a predicate accepts. */
    template <class Predicate>
    std::vector<endpoint> endpoints_if(Predicate predicate) const
    {
        std::vector<endpoint> matches;
        for (const auto& [peer_endpoint, it] : entries_)
            if (predicate(peer_endpoint))
                matches.push_back(peer_endpoint);
        return matches;
    }

private:
    /** Listed endpoints, and since when each is listed as leaving. */
    std::map<endpoint, std::optional<time_point>> entries_;
};

} // namespace turmericlane
