#pragma once

#include "../model/route_configuration.h"

#include <span>
#include <vector>

namespace turmericlane
{

/** Distributes requests among services in proportion to their weights, by
    smooth weighted round robin: in any sequence of requests the shares are
    exact to one request.

    @see route_table
*/
class weighted_split
{
public:
    /** @param services  at least one; if all weights are zero, the first gets
                         every request
        @param phase     0 to 1, position in the cycle at which the split
                         starts */
    weighted_split(std::span<const weighted_service> services, double phase);

    /** Returns the index of the service for the next request. */
    std::size_t select_next();

private:
    struct service_credit
    {
        double weight = 0.0;
        double credit = 0.0;
    };

    std::vector<service_credit> services_;
    double total_weight_ = 0.0;
};

} // namespace turmericlane
