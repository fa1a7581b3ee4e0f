#pragma once

#include "searcher_entry.h"

#include <memory>

namespace turmericlane
{

/** Load that a searcher reports with an answer. */
struct searcher_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
};

/** One searcher as this instance sees it: requests in flight, speed relative to
    the route's usual latency, reported load, and whether it is out of use.

    @see replica_choice, searcher_registry
*/
class searcher
{
public:
    /** @param entry  what it published
        @param now    present time */
    searcher(searcher_entry entry, time_point now);

    /** What it published last. */
    const searcher_entry& entry() const noexcept
    {
        return entry_;
    }

    /** Takes over a newer entry. Another incarnation starts without a past. */
    void update(searcher_entry entry, time_point now);

    /** Its entry is gone, or its address serves another searcher. */
    void remove() noexcept
    {
        is_removed_ = true;
    }

    /** True if no new work may be sent. */
    bool is_leaving() const noexcept
    {
        return is_removed_ || entry_.is_draining;
    }

    /** Requests that this instance may have in flight to it. */
    void set_max_in_flight(std::uint32_t max_requests) noexcept
    {
        max_in_flight_ = max_requests;
    }

    /** Requests that this instance may have in flight to it. */
    std::uint32_t max_in_flight() const noexcept
    {
        return max_in_flight_;
    }

    /** Idle connections that this instance keeps to it; see
        plan_connections. */
    void set_max_idle_connections(std::uint32_t max_connections) noexcept
    {
        max_idle_connections_ = max_connections;
    }

    /** Idle connections that this instance keeps to it. */
    std::uint32_t max_idle_connections() const noexcept
    {
        return max_idle_connections_;
    }

    /** True if this instance keeps connections to it. */
    bool is_preferred() const noexcept
    {
        return max_idle_connections_ > 0;
    }

    /** True if one more request may be sent. */
    bool has_capacity() const noexcept
    {
        return in_flight_ < max_in_flight_;
    }

    /** Requests in flight. */
    std::uint32_t in_flight() const noexcept
    {
        return in_flight_;
    }

    /** A request is sent. */
    void on_request_sent(time_point now) noexcept;

    /** A request ended, in whatever way. */
    void on_request_ended() noexcept;

    /** A request was answered.
        @param took   time from sending to the answer
        @param usual  median latency of such requests; zero if not known */
    void on_answer(duration latency, duration median_latency, time_point now);

    /** A request is overdue: it takes much longer than usual. New requests
        avoid the searcher until it answers, or for a short time. */
    void on_overdue(time_point now) noexcept;

    /** A request was given up without an answer. A searcher that has answered
        nothing since, for longer than any pause, counts as failed.
        @param sent  when the request was sent */
    void on_no_answer(time_point sent_time, time_point now) noexcept;

    /** It could not be reached, or was silent; it is out of use until a
        connection to it was opened, which is tried after a time that grows with
        each failure in a row. */
    void on_failure(time_point now) noexcept;

    /** An answer was broken off. Several in a row count as a failure; a single
        one only makes the searcher less attractive. */
    void on_broken_answer(time_point now) noexcept;

    /** It answered with a failure of its own. */
    void on_server_error(time_point now) noexcept;

    /** It refused a request because it was full. */
    void on_rejected(time_point now) noexcept;

    /** It closed a new connection, because it has too many. */
    void on_turned_away(time_point now) noexcept;

    /** A connection to it was opened after it had failed. */
    void on_reachable() noexcept;

    /** It reported its load. */
    void on_load(const searcher_load& load, time_point now) noexcept;

    /** True if failures have taken it out of use. */
    bool is_ejected() const noexcept
    {
        return is_ejected_;
    }

    /** True if a connection to the ejected searcher is to be tried. */
    bool is_probe_due(time_point now) const noexcept
    {
        return is_ejected_ && now >= next_probe_time_;
    }

    /** When a connection to the ejected searcher is tried. */
    time_point next_probe_time() const noexcept
    {
        return next_probe_time_;
    }

    /** Failures since the last answer. */
    std::uint32_t failures() const noexcept
    {
        return failures_;
    }

    /** Expected cost of one more request relative to an idle searcher of usual
        speed, whose cost is 1. */
    double cost(time_point now) const noexcept;

    /** Time since it answered last while requests were in flight; zero if none
        is. */
    duration unanswered_time(time_point now) const noexcept;

private:
    bool is_avoided(time_point now) const noexcept;
    void record_request(bool has_failed, time_point now) noexcept;
    double slowness(time_point now) const noexcept;
    double failure_rate(time_point now) const noexcept;
    double utilisation(time_point now) const noexcept;

    searcher_entry entry_;
    bool is_removed_ = false;
    std::uint32_t max_idle_connections_ = 1;
    std::uint32_t max_in_flight_ = 1;
    std::uint32_t in_flight_ = 0;
    std::uint32_t failures_ = 0;
    time_point last_answer_time_{};
    /** When requests in flight began to wait for an answer, any answer. */
    time_point wait_start_{};
    /** Usual latency of the requests that it answered. */
    duration median_latency_{};
    double slowness_ = 1.0;
    time_point slowness_time_;
    /** Smoothed share of the requests that it refused or failed. */
    double failure_rate_ = 0.0;
    time_point failure_rate_time_;
    double reported_load_ = 0.0;
    time_point load_time_;
    std::uint32_t requests_since_load_ = 0;
    time_point warm_up_end_;
    time_point avoidance_end_{};
    bool is_ejected_ = false;
    time_point next_probe_time_{};
};

} // namespace turmericlane
