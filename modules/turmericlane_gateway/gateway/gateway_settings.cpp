#include "gateway_settings.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Time at the end of the shutdown in which requests in flight finish. */
constexpr auto drain_timeout = 1200ms;
constexpr double thousandths = 1000.0;

} // namespace

member make_own_member(const gateway_settings& settings)
{
    member self;
    self.listen_endpoint = settings.local_endpoint;
    self.data_centre = settings.data_centre;
    self.nonce = settings.nonce;
    self.index = static_cast<ordinal>(settings.nonce);
    self.capacity =
        static_cast<std::uint32_t>(settings.processor_cores * thousandths);
    return self;
}

shutdown_limits make_shutdown_limits(const gateway_settings& settings)
{
    shutdown_limits limits;
    limits.total_time = settings.shutdown_timeout;
    limits.leaving_time = std::max<duration>(
        settings.shutdown_timeout - drain_timeout,
        settings.shutdown_timeout / 2);
    return limits;
}

} // namespace turmericlane
