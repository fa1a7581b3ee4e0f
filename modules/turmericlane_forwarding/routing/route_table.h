#pragma once

#include "../model/route_configuration.h"
#include "weighted_split.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

namespace turmericlane
{

/** One version of the configuration with an index of routes by host and path
    prefix, and of services by name.

    Only the state of the weighted splits changes after construction. Requests
    share ownership of the table, so that they finish under the version with
    which they started. Not thread-safe.

    @see weighted_split
*/
class route_table
{
public:
    /** @param configuration  the version to index
        @param phase          0 to 1; position at which the splits start.
                              Different phases keep instances from sending
                              to the same service at the same time */
    route_table(route_configuration configuration, double phase);

    /** Returns the configuration from which the table was built. */
    const route_configuration& configuration() const noexcept
    {
        return configuration_;
    }

    /** Returns the route with the longest matching prefix, or null.
        @param host  without a port; compared without regard to case
        @param path  path of the request, without the query */
    const route* find(std::string_view host, std::string_view path) const;

    /** Returns the home regions of the routes of a host; empty if none of them
        has any. */
    std::span<const std::string> home_regions(std::string_view host) const;

    /** Selects the service for the next request of a route without shards. */
    const std::string& next_service(const route& matched_route);

    /** Returns the number of connections that a searcher of a service accepts
        from all instances together, or nothing if the service is unknown. */
    std::optional<std::uint32_t>
    max_connections(const std::string& service) const;

private:
    route_configuration configuration_;
    /** By host in lower case; longest prefix first. */
    std::unordered_map<std::string, std::vector<const route*>> routes_by_host_;
    std::unordered_map<std::string, std::vector<std::string>>
        home_regions_by_host_;
    std::unordered_map<std::string, std::uint32_t> max_connections_;
    std::unordered_map<const route*, weighted_split> splits_;
};

} // namespace turmericlane
