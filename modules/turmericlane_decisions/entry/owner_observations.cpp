#include "owner_observations.h"

namespace turmericlane
{

namespace
{

// The moving average moves by this fraction, 1/16, towards each new sample.
constexpr int overhead_divisor = 16;

} // namespace

void owner_observations::on_reply(ordinal owner, time_point now)
{
    observations_[owner].last_reply = now;
}

void owner_observations::on_overhead(ordinal owner, duration sample)
{
    auto& average = observations_[owner].overhead;
    if (average == duration::min())
        average = sample;
    else
        average += (sample - average) / overhead_divisor;
}

void owner_observations::forget(ordinal owner)
{
    observations_.erase(owner);
}

bool owner_observations::has_replied_since(
    ordinal owner, time_point earlier) const
{
    auto found = observations_.find(owner);
    return found != observations_.end() && found->second.last_reply > earlier;
}

duration
owner_observations::overhead(ordinal owner, duration default_overhead) const
{
    auto found = observations_.find(owner);
    if (found == observations_.end() ||
        found->second.overhead == duration::min())
        return default_overhead;
    return found->second.overhead;
}

} // namespace turmericlane
