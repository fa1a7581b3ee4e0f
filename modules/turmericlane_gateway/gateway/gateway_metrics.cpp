#include "gateway_metrics.h"

namespace turmericlane
{

gateway_metrics::gateway_metrics()
    : gateway_metrics(std::make_unique<metrics_registry>())
{
}

gateway_metrics::gateway_metrics(std::unique_ptr<metrics_registry> registry)
    : abandoned(registry->counter_of(
          "turmericlane_requests_abandoned_total",
          "Requests whose caller left before the answer."))
    , version(registry->gauge_of(
          "turmericlane_configuration_version",
          "Configuration version in force; 0 for none."))
    , instances(registry->gauge_of(
          "turmericlane_instances", "Live instances, this one included."))
    , searchers(
          registry->gauge_of("turmericlane_searchers", "Searchers known."))
    , connections(registry->gauge_of(
          "turmericlane_searcher_connections", "Connections to searchers."))
    , connections_opened(registry->gauge_of(
          "turmericlane_searcher_connections_opened",
          "Connections opened to searchers since the start."))
    , store_age_seconds(registry->gauge_of(
          "turmericlane_store_age_seconds",
          "Time since the store answered last."))
    , lag_seconds(registry->gauge_of(
          "turmericlane_loop_lag_seconds",
          "Time that work waits for the processor."))
    , log_lines_dropped(registry->gauge_of(
          "turmericlane_log_lines_dropped", "Log lines dropped."))
    , registry_(std::move(registry))
{
}

void gateway_metrics::on_result(
    const forward_result& result, duration took, bool in_time)
{
    const auto answered = result.failure == forward_failure::none;
    const auto* const kind = !answered ? "not_answered"
                             : in_time ? "in_time"
                                       : "late";
    registry_
        ->counter_of(
            "turmericlane_requests_total", "Requests by result and reason.",
            {{"result", kind},
             {"reason", std::string(to_string(result.failure))},
             {"partial", result.missing_parts > 0 ? "yes" : "no"}})
        .add();
    registry_
        ->histogram_of(
            "turmericlane_request_microseconds",
            "Time from a request's arrival to its answer.", {{"result", kind}})
        .record(took);
}

void gateway_metrics::on_local_refusal(unsigned status)
{
    registry_
        ->counter_of(
            "turmericlane_local_refusals_total",
            "Requests answered without being forwarded.",
            {{"status", std::to_string(status)}})
        .add();
}

void gateway_metrics::on_attempt_failed(attempt_outcome how)
{
    registry_
        ->counter_of(
            "turmericlane_attempt_failures_total",
            "Attempts without a usable answer.",
            {{"outcome", std::string(to_string(how))}})
        .add();
}

void gateway_metrics::on_repeat(bool hedge)
{
    registry_
        ->counter_of(
            "turmericlane_repeats_total", "Attempts sent again.",
            {{"kind", hedge ? "hedge" : "retry"}})
        .add();
}

} // namespace turmericlane
