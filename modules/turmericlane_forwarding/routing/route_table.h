#pragma once

#include "../model/route_configuration.h"
#include "weighted_split.h"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace turmericlane
{

/** One version of the configuration, indexed for requests: the route by host
    and longest prefix, the limits of a service by name.

    The table is immutable but for the positions of its weighted splits.
    Requests share its ownership, so that a new version leaves them untouched.
    One thread uses it.

    @see weighted_split
*/
class route_table
{
public:
    /** @param configuration  the version to index
        @param phase          0 to 1; where the splits start, so that instances
                              do not deal in step */
    route_table(route_configuration configuration, double phase);

    /** The indexed version. */
    const route_configuration& configuration() const noexcept
    {
        return configuration_;
    }

    /** The route of a request, or null.
        @param host  without a port; letter case does not matter
        @param path  path of the request, without the query */
    const route* find(std::string_view host, std::string_view path) const;

    /** The service that takes the next request of a route without shards. */
    const std::string& next_service(const route& matched_route);

    /** Connections that a searcher of a service accepts from all callers;
        nothing if the service is unknown. */
    std::optional<std::uint32_t>
    max_connections(const std::string& service) const;

private:
    route_configuration configuration_;
    /** Routes of each host in lower case, longest prefix first. */
    std::unordered_map<std::string, std::vector<const route*>> routes_by_host_;
    std::unordered_map<std::string, std::uint32_t> max_connections_;
    std::unordered_map<const route*, weighted_split> splits_;
};

} // namespace turmericlane
