#pragma once

#include "member.h"

#include <map>
#include <optional>
#include <span>

namespace turmericlane
{

/** The platform's lagging list as last read.

    An entry becomes leaving at the read that first said so: what a process
    says about itself later than that counts more.

    @see membership_table
*/
class instance_list
{
public:
    /** Replaces the list, without the entry of this instance. */
    void read(
        std::span<const listed_instance> entries,
        const endpoint& self,
        time_point now);

    /** When an endpoint was first listed as leaving; nothing if it is not. */
    std::optional<time_point> leaving_since(const endpoint& where) const;

    /** Endpoints that a predicate accepts. */
    template <class Predicate>
    std::vector<endpoint> select(Predicate accepts) const
    {
        std::vector<endpoint> made;
        for (const auto& [where, it] : entries_)
            if (accepts(where))
                made.push_back(where);
        return made;
    }

private:
    std::map<endpoint, std::optional<time_point>> entries_;
};

} // namespace turmericlane
