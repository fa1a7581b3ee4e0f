#pragma once

#include <boost/circular_buffer.hpp>

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>

namespace turmericlane
{

/** Number of requests that may be sent in any time span of a given length. */
struct warm_up_limit
{
    std::uint32_t max_requests = 0;
    duration window = std::chrono::seconds(1);
};

/** Paces the requests of this instance to one searcher while that is cold: it
    has just started, or its caches are empty again, and it fails at a higher
    rate than it can handle.

    It is made for searchers that become cold at any moment while they get many
    requests. Requests are counted while the searcher is warm, too, so that the
    last second before it became cold counts towards the limit.

    Without a rate it allows everything. Decision code without input or output,
    and without a clock. Not thread-safe.

    @see warm_up_share, searcher
*/
class warm_up_pacer
{
public:
    /** Sets the requests that the searcher can handle in a second while it is
        cold, from all instances together; 0 for no bound. */
    void set_rate(double requests_per_second);

    /** Returns the requests that it can handle in a second; 0 for no bound. */
    double rate() const noexcept
    {
        return rate_;
    }

    /** Sets this instance's share of the rate.
        @param valid_until  nothing is allowed after this time until the share
                            is set again: after a pause of the process, others
                            may have the share */
    void set_limit(const warm_up_limit& limit, time_point valid_until) noexcept;

    /** Returns this instance's share of the rate. */
    const warm_up_limit& limit() const noexcept
    {
        return limit_;
    }

    /** Call when a source states until when the searcher is cold. The latest
        time of all sources counts. */
    void on_cold_until(time_point end) noexcept;

    /** Call when a request is sent to the searcher. */
    void on_request_sent(time_point now);

    /** Call when another process runs at the searcher's address: what was
        stated about the former one no longer holds. */
    void reset() noexcept;

    /** True if the searcher is cold and has a rate. */
    bool is_cold(time_point now) const noexcept
    {
        return rate_ > 0.0 && now < cold_end_;
    }

    /** Returns the end of the time for which it is cold, as far as stated. */
    time_point cold_end() const noexcept
    {
        return cold_end_;
    }

    /** True if one more request may be sent now. */
    bool allows_request(time_point now) const noexcept;

    /** Returns when the next request may be sent, as far as is known; a past
        time if that is now. */
    time_point next_request_time() const noexcept;

private:
    double rate_ = 0.0;
    warm_up_limit limit_;
    time_point limit_end_ = time_point::max();
    time_point cold_end_{};
    /** Times of the last requests, the oldest first. */
    boost::circular_buffer<time_point> sent_times_;
};

} // namespace turmericlane
