#pragma once

#include <turmericlane_forwarding/turmericlane_forwarding.h>
#include <turmericlane_metrics/turmericlane_metrics.h>

namespace turmericlane
{

/** What a gateway counts, found by member in place of by name.

    @see metrics_registry
*/
class gateway_metrics
{
public:
    gateway_metrics();

    /** A request ended.
        @param took  from its arrival to its answer */
    void on_result(const forward_result& result, duration took, bool in_time);

    /** A request was answered without being forwarded. */
    void on_local_refusal(unsigned status);

    /** An attempt failed. */
    void on_attempt_failed(attempt_outcome how);

    /** An attempt was sent again. */
    void on_repeat(bool hedge);

    counter& abandoned;
    gauge& version;
    gauge& instances;
    gauge& searchers;
    gauge& connections;
    gauge& connections_opened;
    gauge& store_age_seconds;
    gauge& lag_seconds;
    gauge& log_lines_dropped;

    /** All metrics in the Prometheus text format. */
    std::string text() const
    {
        return registry_->text();
    }

private:
    explicit gateway_metrics(std::unique_ptr<metrics_registry> registry);

    std::unique_ptr<metrics_registry> registry_;
};

} // namespace turmericlane
