#pragma once

#include "searcher_entry.h"
#include "warm_up_pacer.h"

#include <algorithm>
#include <limits>
#include <memory>

namespace turmericlane
{

/** Load that a searcher reports with an answer, in requests. */
struct searcher_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /** Time that work takes on its host at present, relative to the usual
        time; 1 if it does not report it. */
    double work_time_factor = 1.0;
};

/** State of one searcher as seen by this instance: requests in flight, speed
    relative to the usual latency of the route, reported load, and whether
    failures have ejected it.

    @see replica_selector, searcher_registry
*/
class searcher
{
public:
    /** @param entry  published by the searcher
        @param now    present time */
    searcher(searcher_entry entry, time_point now);

    /** Returns the entry that it published last. */
    const searcher_entry& entry() const noexcept
    {
        return entry_;
    }

    /** Replaces the entry by a newer one. The statistics are reset if the
        incarnation, service or address differs. */
    void update(searcher_entry entry, time_point now);

    /** Marks the searcher as gone: its entry was removed, or its address serves
        another searcher. */
    void remove() noexcept
    {
        is_removed_ = true;
    }

    /** True if it must not be sent new requests. */
    bool is_leaving() const noexcept
    {
        return is_removed_ || entry_.is_draining;
    }

    /** Sets how many requests this instance may have in flight to it. */
    void set_max_in_flight(std::uint32_t max_requests) noexcept
    {
        max_in_flight_ = max_requests;
    }

    /** Returns how many requests this instance may have in flight to it: its
        share of the connections, or less since the searcher asked for a quiet
        time. */
    std::uint32_t max_in_flight() const noexcept
    {
        return std::min(max_in_flight_, window_);
    }

    /** Sets how many idle connections this instance keeps to it.
        @see plan_connections */
    void set_max_idle_connections(std::uint32_t max_connections) noexcept
    {
        max_idle_connections_ = max_connections;
    }

    /** Returns how many idle connections this instance keeps to it. */
    std::uint32_t max_idle_connections() const noexcept
    {
        return max_idle_connections_;
    }

    /** True if this instance keeps idle connections to it. */
    bool is_preferred() const noexcept
    {
        return max_idle_connections_ > 0;
    }

    /** True if one more request may be sent now. */
    bool has_capacity(time_point now) const noexcept
    {
        return in_flight_ < max_in_flight() && !is_quiet(now);
    }

    /** Returns the number of requests of this instance in flight to it. */
    std::uint32_t in_flight() const noexcept
    {
        return in_flight_;
    }

    /** Call when a request is sent. */
    void on_request_sent(time_point now);

    /** Call when a request ends, with or without an answer. */
    void on_request_ended() noexcept;

    /** Call when a request is answered.
        @param latency         time from sending to the answer
        @param median_latency  of the route's requests; zero if not known */
    void on_answer(duration latency, duration median_latency, time_point now);

    /** Call when a request takes much longer than usual. New requests avoid the
        searcher until it answers, or for a short time. */
    void on_overdue(time_point now) noexcept;

    /** Call when a request is given up without an answer. The searcher counts
        as failed if it has answered nothing since the request was sent and
        that is longer ago than a pause lasts.
        @param sent_time  when the request was sent */
    void on_no_answer(time_point sent_time, time_point now) noexcept;

    /** Call when it could not be reached, or did not answer. Ejects the
        searcher until a connection to it has been opened, which is tried after
        a delay that grows with each consecutive failure. */
    void on_failure(time_point now) noexcept;

    /** Call when an answer ended before it was complete. Several consecutive
        ones count as a failure; a single one only raises the cost. */
    void on_broken_answer(time_point now) noexcept;

    /** Call when it answered with an error of its own. */
    void on_server_error(time_point now) noexcept;

    /** Call when it rejected a request because it was full. */
    void on_rejected(time_point now) noexcept;

    /** Call when it closed a new connection because it has too many. */
    void on_turned_away(time_point now) noexcept;

    /** Call when it asked to be sent nothing for some time. From then on fewer
        requests may be in flight to it. The number grows again, but slowly:
        each quiet time costs more than the capacity that it finds. */
    void on_quiet_requested(duration quiet_time, time_point now) noexcept;

    /** True if it asked to be sent nothing at present. */
    bool is_quiet_requested(time_point now) const noexcept
    {
        return now < quiet_end_;
    }

    /** True if it must be sent nothing at present: it asked for that, or it is
        cold and this instance has used its share of what it can handle. */
    bool is_quiet(time_point now) const noexcept
    {
        return is_quiet_requested(now) || !warm_up_.allows_request(now);
    }

    /** Returns the end of the last time in which it must be sent nothing. */
    time_point quiet_end() const noexcept
    {
        return std::max(quiet_end_, warm_up_.next_request_time());
    }

    /** Returns the pacing of requests while it is cold. */
    warm_up_pacer& warm_up() noexcept
    {
        return warm_up_;
    }

    /** Returns the pacing of requests while it is cold. */
    const warm_up_pacer& warm_up() const noexcept
    {
        return warm_up_;
    }

    /** Returns when the searcher last answered any request, also with an error;
        the start of the clock if it never did. */
    time_point last_answer_time() const noexcept
    {
        return last_answer_time_;
    }

    /** Call when an answer echoed the id of its request. */
    void on_id_echoed() noexcept
    {
        has_echoed_id_ = true;
    }

    /** True if it is known to echo the ids of requests, so that an answer
        without an id is not trusted. */
    bool has_echoed_id() const noexcept
    {
        return has_echoed_id_;
    }

    /** Call when a peer reported that it is leaving. It is used only if there
        is no other replica, until its own answers or its entry tell more or the
        report expires. */
    void on_departure_reported(time_point now) noexcept;

    /** True if a peer reported lately that it is leaving. */
    bool is_departure_reported(time_point now) const noexcept
    {
        return now < departure_report_end_;
    }

    /** Call when a connection to the ejected searcher was opened. */
    void on_reachable() noexcept;

    /** Call when it reported its load. */
    void on_load(const searcher_load& load, time_point now) noexcept;

    /** Sets the share of requests that get no usable answer from it, as several
        instances see it. It loses its weight within some seconds.
        @param rate  0 to 1
        @see failure_exchange */
    void set_pooled_failure_rate(double rate, time_point now) noexcept;

    /** True if it is not used because of failures. */
    bool is_ejected() const noexcept
    {
        return is_ejected_;
    }

    /** True if it is ejected and a connection to it should be tried now. */
    bool is_probe_due(time_point now) const noexcept
    {
        return is_ejected_ && now >= next_probe_time_;
    }

    /** Returns when a connection to the ejected searcher is tried next. */
    time_point next_probe_time() const noexcept
    {
        return next_probe_time_;
    }

    /** Returns the number of failures since the last answer. */
    std::uint32_t failures() const noexcept
    {
        return failures_;
    }

    /** Returns the expected cost of one more request; 1 for an idle searcher of
        usual speed. */
    double cost(time_point now) const noexcept;

    /** Returns the part of the cost that the searcher itself causes: its speed
        and failures, without the load. */
    double fault_cost(time_point now) const noexcept;

    /** Returns the requests that it runs or has waiting, for each slot. */
    double utilisation(time_point now) const noexcept;

    /** Returns the time that work takes on its host, relative to the usual
        time. */
    double work_time_factor(time_point now) const noexcept;

    /** True if it does not answer in time, or did so lately. */
    bool is_avoided(time_point now) const noexcept;

    /** True if it is slow because it has just started. */
    bool is_warming_up(time_point now) const noexcept
    {
        return now < warm_up_end_ || warm_up_.is_cold(now);
    }

    /** Returns for how long requests in flight have had no answer; zero if none
        is in flight. */
    duration unanswered_time(time_point now) const noexcept;

private:
    void record_request(bool has_failed, time_point now) noexcept;
    void grow_window(time_point now) noexcept;
    double slowness(time_point now) const noexcept;
    /** Returns the larger one of the own and the pooled rate. */
    double failure_rate(time_point now) const noexcept;
    double own_failure_rate(time_point now) const noexcept;

    searcher_entry entry_;
    bool is_removed_ = false;
    bool has_echoed_id_ = false;
    std::uint32_t max_idle_connections_ = 1;
    std::uint32_t max_in_flight_ = 1;
    std::uint32_t in_flight_ = 0;
    std::uint32_t failures_ = 0;
    time_point last_answer_time_{};
    /** When the searcher answered last, or when the first request in flight was
        sent if that is later. */
    time_point wait_start_{};
    /** Median latency of the route of the last answered request. */
    duration median_latency_{};
    /** Smoothed latency relative to the usual one, apart from the reported
        work time. */
    double slowness_ = 1.0;
    time_point slowness_time_;
    /** Smoothed share of the requests that it rejected or that failed. */
    double failure_rate_ = 0.0;
    time_point failure_rate_time_;
    double pooled_failure_rate_ = 0.0;
    time_point pooled_failure_rate_time_{};
    double reported_load_ = 0.0;
    double reported_work_time_ = 1.0;
    time_point load_time_;
    std::uint32_t requests_since_load_ = 0;
    time_point warm_up_end_;
    time_point avoidance_end_{};
    bool is_ejected_ = false;
    time_point next_probe_time_{};
    time_point quiet_end_{};
    warm_up_pacer warm_up_;
    /** Requests that may be in flight since the last quiet time. */
    std::uint32_t window_ = std::numeric_limits<std::uint32_t>::max();
    duration window_growth_interval_{};
    time_point next_window_growth_{};
    time_point departure_report_end_{};
};

} // namespace turmericlane
