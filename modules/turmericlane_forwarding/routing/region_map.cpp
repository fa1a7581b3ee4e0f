#include "region_map.h"

#include <algorithm>

namespace turmericlane
{

region_map::region_map(std::map<std::string, std::string> regions)
    : regions_(std::move(regions))
{
}

const std::string& region_map::region_of(const std::string& data_centre) const
{
    static const std::string unknown_region;
    const auto match = regions_.find(data_centre);
    return match == regions_.end() ? unknown_region : match->second;
}

bool region_map::is_home(
    const route& served_route, const std::string& data_centre) const
{
    const auto& homes = served_route.home_regions;
    if (homes.empty())
        return true;
    const auto& region = region_of(data_centre);
    return !region.empty() &&
           std::find(homes.begin(), homes.end(), region) != homes.end();
}

} // namespace turmericlane
