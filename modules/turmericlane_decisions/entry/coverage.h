#pragma once

#include "../messages/search_messages.h"

#include <turmericlane_bundle/turmericlane_bundle.h>

namespace turmericlane
{

/** Counts the groups that contributed to an answer against the groups of the
    pinned partition map. The denominator never depends on replies.

    @see search_coordinator
*/
class coverage
{
public:
    /** Adds a requested service with all groups of its map. */
    void add_service(const service_map& of);

    /** A group of the service with that position contributed. */
    void on_answered(std::size_t service_position);

    /** Takes back all contributions, for a query that starts again. */
    void clear_answers();

    /** Groups that contributed, over all services. */
    std::size_t answered() const noexcept;

    /** Share of all groups that contributed, 0 to 1. */
    double overall() const noexcept;

    /** Coverage of each service in the order of add_service. */
    const std::vector<service_coverage>& services() const noexcept;

private:
    std::vector<service_coverage> services_;
    std::size_t answered_ = 0;
    std::size_t total_ = 0;
};

} // namespace turmericlane
