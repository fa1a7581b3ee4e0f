#include "instance_count.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Instances that are assumed until the peers are known. */
constexpr std::uint32_t assumed_instances = 8;
constexpr auto time_to_know_peers = 3s;
/** A lower number is believed after this time. */
constexpr auto lower_count_delay = 30s;

} // namespace

instance_count::instance_count(time_point start)
    : start_(start)
    , value_(assumed_instances)
{
}

bool instance_count::update(std::uint32_t seen, time_point now)
{
    seen = std::max(seen, 1U);
    if (now - start_ < time_to_know_peers)
        seen = std::max(seen, assumed_instances);
    if (seen == value_)
    {
        lower_since_ = time_point::max();
        return false;
    }
    if (seen < value_)
    {
        lower_since_ = std::min(lower_since_, now);
        // The assumed number ends with the start; a counted one is kept.
        const auto assumed = value_ == assumed_instances &&
                             now - start_ < 2 * time_to_know_peers;
        if (!assumed && now - lower_since_ < lower_count_delay)
            return false;
    }
    value_ = seen;
    lower_since_ = time_point::max();
    return true;
}

} // namespace turmericlane
