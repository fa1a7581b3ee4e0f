#pragma once

#include "../messages/search_messages.h"

namespace turmericlane
{

/** State of one searcher at its owner: attempts in flight, measured latency,
    reported load, whether it is leaving, and ejection as an outlier.

    @see replica_set
*/
class backend_server
{
public:
    explicit backend_server(searcher_id id);

    /** Sets the limits, both greater than zero.
        @param slots          requests that the server runs at a time
        @param max_in_flight  attempts that this owner may have in flight */
    void set_limits(std::uint32_t slots, std::uint32_t max_in_flight);

    /** Returns the id in the bundle. */
    searcher_id id() const noexcept
    {
        return id_;
    }

    /** Records that an attempt is sent. */
    void on_attempt_start(time_point now);

    /** Records that an attempt ended in any way; its connection is free. */
    void on_attempt_end();

    /** Adds a latency, or a lower bound of one, to the smoothed latency. */
    void on_latency(duration sample);

    /** Records whether the server is slow compared to others.
        @returns how long it has been slow without interruption */
    duration update_slow_time(bool is_slow, time_point now);

    /** Records a failed attempt that may be the server's fault. */
    void on_failure(time_point now);

    /** Records that an attempt was answered. */
    void on_success();

    /** Records that the server rejected an attempt because of its load. */
    void on_overload_reply(time_point now);

    /** Records that the server itself replied that it is leaving. */
    void on_drain_reply(time_point now);

    /** Records that the list of searchers shows the server as leaving or as
        back in service. */
    void on_listed_leaving(bool is_listed_leaving, time_point now);

    /** Sets the time from which the server gets no new attempts according to
        the bundle; time_point::max() if it stays. A server that is back in
        service gets a slow start. */
    void on_bundle(time_point leave_time, time_point now);

    /** Records a reply of the server's load endpoint. */
    void on_load_report(const load_report& report, time_point now);

    /** Records the range of snapshots stated in a reply. */
    void on_snapshot_range(snapshot_range range, time_point now);

    /** Resets load, latency, failures and ejection, which a pause of the
        process has made out of date. */
    void reset_measurements();

    /** Takes the server out of use. The time until the next probe doubles with
        each ejection, up to a limit. */
    void eject(time_point now);

    /** Records the end of a probe of the ejected server.
        @returns true if the server is back in use, with a slow start */
    bool on_probe(bool is_good, time_point now);

    /** Starts to raise the limit of attempts in flight slowly from one. */
    void begin_slow_start(time_point now);

    /** True if the server gets no new attempts. */
    bool is_leaving(time_point now) const;

    /** True if the server is out of use because it failed or was slow. */
    bool is_ejected() const noexcept
    {
        return is_ejected_;
    }

    /** Returns when the next probe of the ejected server is due;
        time_point::max() while one is in flight. */
    time_point next_probe_time() const noexcept
    {
        return is_probing_ ? time_point::max() : next_probe_time_;
    }

    /** Records that a probe is sent. */
    void on_probe_start()
    {
        is_probing_ = true;
    }

    /** Records that a probe ended without a result. */
    void on_probe_cancelled(time_point now);

    /** Returns when the last attempt was sent. */
    time_point last_attempt_time() const noexcept
    {
        return last_attempt_time_;
    }

    /** True if one more attempt may be sent. */
    bool has_room(time_point now) const;

    /** Returns the number of attempts in flight. */
    std::uint32_t attempts_in_flight() const noexcept
    {
        return attempts_in_flight_;
    }

    /** Returns the number of failures since the last success. */
    std::uint32_t consecutive_failures() const noexcept
    {
        return consecutive_failures_;
    }

    /** Returns the time of the first failure since the last success. */
    time_point first_failure_time() const noexcept
    {
        return first_failure_time_;
    }

    /** Returns the smoothed latency; zero if none was measured. */
    duration latency() const noexcept
    {
        return latency_;
    }

    /** Returns the number of latencies measured since the server came into
        use. */
    std::uint32_t sample_count() const noexcept
    {
        return sample_count_;
    }

    /** Returns the expected cost of one more attempt, in nanoseconds.
        @param fallback_latency  latency to assume if none was measured */
    double cost(duration fallback_latency) const;

    /** Returns the reported load plus an increment for each attempt sent since
        the report; 0 if the report is out of date. */
    double load(time_point now) const;

    /** Returns the range of snapshots that the server stated last. */
    snapshot_range snapshots() const noexcept
    {
        return snapshots_;
    }

    /** True unless the server lately stated that it does not serve a
        snapshot. */
    bool may_serve(std::uint64_t snapshot, time_point now) const;

    /** True if the range that the server stated last has a snapshot. */
    bool has_snapshot(std::uint64_t snapshot) const noexcept;

private:
    searcher_id id_;
    std::uint32_t slots_ = 1;
    std::uint32_t max_in_flight_ = 1;
    std::uint32_t attempts_in_flight_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t sample_count_ = 0;
    duration latency_{};
    time_point last_attempt_time_{};
    time_point first_failure_time_{};
    time_point first_slow_time_ = time_point::max();
    double reported_load_ = 0.0;
    std::uint32_t attempts_since_report_ = 0;
    time_point report_time_{};
    bool is_listed_leaving_ = false;
    bool has_drain_reply_ = false;
    time_point drain_reply_time_{};
    time_point bundle_leave_time_ = time_point::max();
    bool is_ejected_ = false;
    bool is_probing_ = false;
    std::uint32_t ejections_ = 0;
    std::uint32_t good_probes_ = 0;
    time_point next_probe_time_{};
    time_point return_time_{};
    time_point slow_start_end_{};
    snapshot_range snapshots_;
    time_point snapshots_time_{};
};

} // namespace turmericlane
