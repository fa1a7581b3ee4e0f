#include "gateway_settings.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time before the end of the shutdown in which requests finish. */
constexpr auto drain_time = 1200ms;
constexpr double thousandths = 1000.0;

} // namespace

member self_of(const gateway_settings& settings)
{
    member made;
    made.listen_endpoint = settings.where;
    made.data_centre = settings.data_centre;
    made.nonce = settings.nonce;
    made.index = static_cast<ordinal>(settings.nonce);
    made.capacity =
        static_cast<std::uint32_t>(settings.processor_cores * thousandths);
    return made;
}

shutdown_limits limits_of(const gateway_settings& settings)
{
    shutdown_limits made;
    made.total_time = settings.shutdown_time;
    made.leaving_time = std::max<duration>(
        settings.shutdown_time - drain_time, settings.shutdown_time / 2);
    return made;
}

} // namespace turmericlane
