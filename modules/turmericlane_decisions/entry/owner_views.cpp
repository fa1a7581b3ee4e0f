#include "owner_views.h"

namespace turmericlane
{

namespace
{

// Weight of a new measurement is one in so many.
constexpr int overhead_weight = 16;

} // namespace

void owner_views::on_heard(ordinal owner, time_point now)
{
    views_[owner].last_heard = now;
}

void owner_views::on_overhead(ordinal owner, duration extra)
{
    auto& known = views_[owner].overhead;
    if (known == duration::min())
        known = extra;
    else
        known += (extra - known) / overhead_weight;
}

void owner_views::forget(ordinal owner)
{
    views_.erase(owner);
}

bool owner_views::heard_since(ordinal owner, time_point point) const
{
    auto found = views_.find(owner);
    return found != views_.end() && found->second.last_heard > point;
}

duration owner_views::overhead(ordinal owner, duration assumed) const
{
    auto found = views_.find(owner);
    if (found == views_.end() || found->second.overhead == duration::min())
        return assumed;
    return found->second.overhead;
}

} // namespace turmericlane
