#pragma once

#include "../messages/search_messages.h"

namespace turmericlane
{

/** One searcher as its owner sees it: requests in flight, own latency
    measurements, reported load, whether it leaves, and ejection.

    @see replica_set
*/
class backend_server
{
public:
    explicit backend_server(searcher_id id);

    /** Sets the bounds.
        @param slots   requests that the server runs at a time
        @param window  requests that this owner may have in flight to it */
    void set_limits(std::uint32_t slots, std::uint32_t window);

    /** Id in the bundle. */
    searcher_id id() const noexcept
    {
        return id_;
    }

    /** A request is sent. */
    void on_start(time_point now);

    /** A request ended, in whatever way; its connection is free. */
    void on_end();

    /** A latency was measured, or a lower bound of it. */
    void on_latency(duration took);

    /** Records whether the server is slow compared to others.
        @returns for how long it has been without a break */
    duration slow_for(bool slow, time_point now);

    /** A request failed in a way that may be the server's fault. */
    void on_failure(time_point now);

    /** A request was answered. */
    void on_success();

    /** The server refused a request because of its load. */
    void on_shed(time_point now);

    /** The server itself said that it leaves. */
    void on_drain_reply(time_point now);

    /** The list said that the server leaves or is back. */
    void on_listed(bool leaving, time_point now);

    /** The bundle says from when on the server gets no new work;
        time_point::max() if it stays. A server that is back starts slowly. */
    void on_bundle(time_point leaves_at, time_point now);

    /** The load endpoint answered. */
    void on_load_report(const load_report& report, time_point now);

    /** A reply stated the range of snapshots. */
    void on_range(snapshot_range served);

    /** Forgets load, latency, failures and ejection, which a pause has made
        out of date. */
    void forget_views();

    /** Takes the server out of use for a time that grows with each call. */
    void eject(time_point now);

    /** A probe of the ejected server ended.
        @returns true if it is back in use, with a slow start */
    bool on_probe(bool good, time_point now);

    /** Lets the requests in flight grow slowly from now on. */
    void start_slowly(time_point now);

    /** True if no new work may be sent. */
    bool leaving(time_point now) const;

    /** True if the server is out of use because it failed or is slow. */
    bool ejected() const noexcept
    {
        return ejected_;
    }

    /** Since when a probe of the ejected server is due; time_point::max()
        while one is under way. */
    time_point probe_due() const noexcept
    {
        return probing_ ? time_point::max() : probe_at_;
    }

    /** A probe is sent. */
    void on_probe_start()
    {
        probing_ = true;
    }

    /** A probe ended without saying anything about the server. */
    void on_probe_cancelled(time_point now);

    /** When the last request was sent. */
    time_point last_started() const noexcept
    {
        return last_started_;
    }

    /** True if one more request may be sent. */
    bool has_room(time_point now) const;

    /** Requests in flight. */
    std::uint32_t in_flight() const noexcept
    {
        return in_flight_;
    }

    /** Failures since the last success. */
    std::uint32_t failures() const noexcept
    {
        return failures_;
    }

    /** Time of the first failure since the last success. */
    time_point failing_since() const noexcept
    {
        return failing_since_;
    }

    /** Smoothed latency; zero if not known. */
    duration latency() const noexcept
    {
        return latency_;
    }

    /** Latencies measured since the server came into use. */
    std::uint32_t samples() const noexcept
    {
        return samples_;
    }

    /** Expected cost of one more request, in nanoseconds.
        @param fallback  latency to assume if none is known */
    double cost(duration fallback) const;

    /** Reported load with an increment for each request sent since. */
    double load(time_point now) const;

    /** Range of snapshots last stated. */
    snapshot_range served() const noexcept
    {
        return served_;
    }

    /** True unless the server is known not to serve a snapshot. */
    bool may_serve(std::uint64_t snapshot) const;

private:
    searcher_id id_;
    std::uint32_t slots_ = 1;
    std::uint32_t window_ = 1;
    std::uint32_t in_flight_ = 0;
    std::uint32_t failures_ = 0;
    std::uint32_t samples_ = 0;
    duration latency_{};
    time_point last_started_{};
    time_point failing_since_{};
    time_point slow_since_ = time_point::max();
    double reported_load_ = 0.0;
    std::uint32_t sent_since_report_ = 0;
    time_point reported_at_{};
    bool listed_leaving_ = false;
    bool drain_replied_ = false;
    time_point drain_reply_at_{};
    time_point bundle_leaves_at_ = time_point::max();
    bool ejected_ = false;
    bool probing_ = false;
    std::uint32_t ejections_ = 0;
    std::uint32_t good_probes_ = 0;
    time_point probe_at_{};
    time_point returned_at_{};
    time_point slow_until_{};
    snapshot_range served_;
};

} // namespace turmericlane
