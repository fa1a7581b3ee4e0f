#pragma once

#include "../http/connection_report.h"

#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_metrics/turmericlane_metrics.h>
#include <turmericlane_state/turmericlane_state.h>

namespace turmericlane
{

/** The metrics of a gateway, accessed as members and methods rather than by
    name.

    @see metrics_registry
*/
class gateway_metrics
{
public:
    gateway_metrics();

    /** Counts a request that has ended.
        @param latency     time from the request's arrival to its answer
        @param is_in_time  true if the answer came within the route's target */
    void
    on_result(const forward_result& result, duration latency, bool is_in_time);

    /** Sets the shares of the ranks in the room of each service. */
    void set_room_shares(
        const std::vector<std::pair<std::string, service_room::rank_share>>&
            shares);

    /** Counts a request that was answered without being forwarded.
        @param status  HTTP status of the answer */
    void on_local_refusal(unsigned status);

    /** Counts an attempt that has failed. */
    void on_attempt_failed(attempt_outcome failure);

    /** Counts an extra attempt.
        @param is_hedge  true for a hedge, false for a retry */
    void on_extra_attempt(bool is_hedge);

    /** Sets the numbers of calls of the store. */
    void set_store_calls(const store_call_counts& counts);

    /** Records a share of requests sent to another data centre. */
    void on_balance_changed(const balance_change& change);

    /** Counts a caller's connection that ended before the answer was wholly
        delivered. */
    void on_connection_cut(caller_connection_end cause);

    counter& requests_abandoned;
    counter& quiet_requests;
    counter& odd_fields;
    counter& unmatched_answers;
    counter& answers_too_large;
    counter& store_returns;
    counter& store_answers_refused;
    gauge& configuration_version;
    gauge& instances;
    gauge& searchers;
    gauge& evacuated_data_centres;
    gauge& failing_searchers;
    gauge& cold_searchers;
    gauge& cold_searchers_without_share;
    gauge& caller_memory_bytes;
    gauge& caller_memory_given_up;
    gauge& searcher_connections;
    gauge& searcher_connections_opened;
    gauge& store_age_seconds;
    gauge& store_revision;
    gauge& store_era;
    gauge& store_followed;
    gauge& loop_lag_seconds;
    gauge& log_lines_dropped;

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const
    {
        return registry_->text();
    }

private:
    explicit gateway_metrics(std::unique_ptr<metrics_registry> registry);

    std::unique_ptr<metrics_registry> registry_;
};

} // namespace turmericlane
