#pragma once

#include "../model/route_configuration.h"

#include <map>
#include <string>

namespace turmericlane
{

/** The region of each data centre, and which of them may serve a route.

    @see route::home_regions
*/
class region_map
{
public:
    region_map() = default;

    /** @param regions  region by data centre */
    explicit region_map(std::map<std::string, std::string> regions);

    /** Returns the region of a data centre; empty if it is not known. */
    const std::string& region_of(const std::string& data_centre) const;

    /** True if a data centre may serve requests of a route. A data centre of
        unknown region serves only routes without home regions. */
    bool
    is_home(const route& served_route, const std::string& data_centre) const;

private:
    std::map<std::string, std::string> regions_;
};

} // namespace turmericlane
