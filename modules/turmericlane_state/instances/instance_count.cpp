#include "instance_count.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Number of instances that is assumed until the peers are known. */
constexpr std::uint32_t assumed_count = 8;
constexpr auto peer_discovery_time = 3s;
/** Delay until a lower count is adopted. */
constexpr auto lower_count_delay = 30s;

} // namespace

instance_count::instance_count(time_point start_time)
    : start_time_(start_time)
    , value_(assumed_count)
{
}

bool instance_count::update(std::uint32_t live_count, time_point now)
{
    live_count = std::max(live_count, 1U);
    if (now - start_time_ < peer_discovery_time)
        live_count = std::max(live_count, assumed_count);
    if (live_count == value_)
    {
        lower_since_ = time_point::max();
        return false;
    }
    if (live_count < value_)
    {
        lower_since_ = std::min(lower_since_, now);
        // The assumed number need not be kept once the peers are known; a
        // counted number is.
        const auto is_assumed = value_ == assumed_count &&
                                now - start_time_ < 2 * peer_discovery_time;
        if (!is_assumed && now - lower_since_ < lower_count_delay)
            return false;
    }
    value_ = live_count;
    lower_since_ = time_point::max();
    return true;
}

} // namespace turmericlane
