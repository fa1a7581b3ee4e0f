#pragma once

#include "../messages/search_messages.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

namespace turmericlane
{

/** Counts the groups that contributed to an answer against all groups of the
    partition map that the query uses. The total never depends on replies.

    @see search_coordinator
*/
class coverage_counter
{
public:
    /** Adds a requested service with all groups of its partition map. */
    void add_service(const service_map& service);

    /** Counts a contribution of one group.
        @param service_index  index of its service in the order of
                              add_service */
    void add_answer(std::size_t service_index);

    /** Drops all contributions, for a query that starts again. */
    void clear_answers();

    /** Returns the number of groups that contributed, over all services. */
    std::size_t answered_groups() const noexcept;

    /** Returns the share of all groups that contributed, 0 to 1. */
    double overall_coverage() const noexcept;

    /** Returns the coverage of each service in the order of add_service. */
    const std::vector<service_coverage>& services() const noexcept;

private:
    std::vector<service_coverage> services_;
    std::size_t answered_groups_ = 0;
    std::size_t total_groups_ = 0;
};

} // namespace turmericlane
