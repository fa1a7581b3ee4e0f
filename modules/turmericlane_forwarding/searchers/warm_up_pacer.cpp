#include "warm_up_pacer.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

/** Bounds the memory for one searcher to 8 KB; no share is larger. */
constexpr double max_remembered_requests = 1024.0;
/** Addition to a window: a request that waits for its connection leaves later
    than it is counted, and would otherwise fall into the same second as those
    of the next window. Without it, a model of the fleet had twice the rate in a
    second. */
constexpr auto sending_allowance = std::chrono::milliseconds(100);

} // namespace

void warm_up_pacer::set_rate(double requests_per_second)
{
    assert(requests_per_second >= 0.0);
    if (requests_per_second == rate_)
        return;
    rate_ = requests_per_second;
    // Removes the oldest times if the capacity shrinks.
    sent_times_.rset_capacity(static_cast<std::size_t>(
        std::min(std::ceil(rate_), max_remembered_requests)));
}

void warm_up_pacer::set_limit(
    const warm_up_limit& limit, time_point valid_until) noexcept
{
    limit_ = limit;
    limit_end_ = valid_until;
}

void warm_up_pacer::on_cold_until(time_point end) noexcept
{
    cold_end_ = std::max(cold_end_, end);
}

void warm_up_pacer::on_request_sent(time_point now)
{
    if (rate_ > 0.0)
        sent_times_.push_back(now);
}

void warm_up_pacer::reset() noexcept
{
    cold_end_ = {};
    sent_times_.clear();
}

bool warm_up_pacer::allows_request(time_point now) const noexcept
{
    return !is_cold(now) || (limit_.max_requests > 0 && now <= limit_end_ &&
                             next_request_time() <= now);
}

time_point warm_up_pacer::next_request_time() const noexcept
{
    if (rate_ <= 0.0)
        return {};
    if (limit_.max_requests == 0)
        return std::min(limit_end_, cold_end_);
    const auto max_requests =
        std::min<std::size_t>(limit_.max_requests, sent_times_.capacity());
    if (sent_times_.size() < max_requests)
        return {};
    const auto oldest = sent_times_[sent_times_.size() - max_requests];
    return std::min(oldest + limit_.window + sending_allowance, cold_end_);
}

} // namespace turmericlane
