#include "gateway_metrics.h"

namespace turmericlane
{

gateway_metrics::gateway_metrics()
    : gateway_metrics(std::make_unique<metrics_registry>())
{
}

gateway_metrics::gateway_metrics(std::unique_ptr<metrics_registry> registry)
    : requests_abandoned(registry->counter_of(
          "turmericlane_requests_abandoned_total",
          "Requests whose caller disconnected before the answer."))
    , quiet_requests(registry->counter_of(
          "turmericlane_quiet_requests_total",
          "Times that a searcher asked to be sent nothing for a while."))
    , odd_fields(registry->counter_of(
          "turmericlane_odd_fields_total",
          "Header fields of searchers' answers with an unusable value."))
    , unmatched_answers(registry->counter_of(
          "turmericlane_unmatched_answers_total",
          "Dropped answers that belong to no open request."))
    , answers_too_large(registry->counter_of(
          "turmericlane_answers_too_large_total",
          "Answers of searchers given up because of their size."))
    , store_returns(registry->counter_of(
          "turmericlane_store_returns_total",
          "Times that the store had come back from an older copy."))
    , store_answers_refused(registry->counter_of(
          "turmericlane_store_answers_refused_total",
          "Answers of the store refused because of their era."))
    , configuration_version(registry->gauge_of(
          "turmericlane_configuration_version",
          "Configuration version in force; 0 for none."))
    , instances(registry->gauge_of(
          "turmericlane_instances", "Live instances, including this one."))
    , searchers(
          registry->gauge_of("turmericlane_searchers", "Known searchers."))
    , evacuated_data_centres(registry->gauge_of(
          "turmericlane_evacuated_data_centres",
          "Data centres that operators have evacuated."))
    , failing_searchers(registry->gauge_of(
          "turmericlane_failing_searchers",
          "Searchers of which this instance or its peers know failures."))
    , cold_searchers(registry->gauge_of(
          "turmericlane_cold_searchers",
          "Cold searchers of services with a warm-up rate."))
    , cold_searchers_without_share(registry->gauge_of(
          "turmericlane_cold_searchers_without_share",
          "Cold searchers to which this instance may send nothing."))
    , caller_memory_bytes(registry->gauge_of(
          "turmericlane_caller_memory_bytes",
          "Memory held for callers' requests and answers."))
    , caller_memory_given_up(registry->gauge_of(
          "turmericlane_caller_memory_given_up",
          "Requests and answers of callers given up for lack of memory."))
    , searcher_connections(registry->gauge_of(
          "turmericlane_searcher_connections", "Connections to searchers."))
    , searcher_connections_opened(registry->gauge_of(
          "turmericlane_searcher_connections_opened",
          "Connections to searchers opened since the start."))
    , store_age_seconds(registry->gauge_of(
          "turmericlane_store_age_seconds",
          "Time since the store last confirmed the state."))
    , store_revision(registry->gauge_of(
          "turmericlane_store_revision",
          "Revision up to which the copy of the store is complete."))
    , store_era(registry->gauge_of(
          "turmericlane_store_era",
          "Era of that revision as the store states it; 0 if it states none."))
    , store_followed(registry->gauge_of(
          "turmericlane_store_followed",
          "1 if this instance follows the store, otherwise 0."))
    , loop_lag_seconds(registry->gauge_of(
          "turmericlane_loop_lag_seconds", "Smoothed delay of the event loop."))
    , log_lines_dropped(registry->gauge_of(
          "turmericlane_log_lines_dropped",
          "Log lines dropped since the start."))
    , registry_(std::move(registry))
{
}

void gateway_metrics::on_result(
    const forward_result& result, duration latency, bool is_in_time)
{
    const auto is_answered = result.failure == forward_failure::none;
    const auto* const result_kind = !is_answered ? "not_answered"
                                    : is_in_time ? "in_time"
                                                 : "late";
    registry_
        ->counter_of(
            "turmericlane_requests_total", "Requests by result and reason.",
            {{"result", result_kind},
             {"reason", std::string(to_string(result.failure))},
             {"partial", result.missing_parts > 0 ? "yes" : "no"}})
        .add();
    registry_
        ->histogram_of(
            "turmericlane_request_microseconds",
            "Time from a request's arrival to its answer.",
            {{"result", result_kind}})
        .record(latency);
}

void gateway_metrics::set_room_shares(
    const std::vector<std::pair<std::string, service_room::rank_share>>& shares)
{
    for (const auto& [service, share] : shares)
    {
        const auto rank = std::to_string(share.rank);
        for (const auto& [kind, value] :
             {std::pair("minimum", share.minimum),
              std::pair("used", share.used), std::pair("served", share.served)})
        {
            registry_
                ->gauge_of(
                    "turmericlane_room_share",
                    "Room of a rank in front of a service, 0 to 1: its minimum "
                    "share, the share of the recent starts, and the admitted "
                    "share of its recent requests.",
                    {{"service", service}, {"rank", rank}, {"kind", kind}})
                .set(value);
        }
    }
}

void gateway_metrics::set_store_calls(const store_call_counts& counts)
{
    const auto set_total = [this](
                               std::string_view name, std::string_view help,
                               const metric_labels& labels, std::uint64_t total)
    {
        auto& it = registry_->counter_of(name, help, labels);
        it.add(total - it.value());
    };
    for (const auto& [kind, total] :
         {std::pair("page", counts.pages), std::pair("watch", counts.watches)})
        set_total(
            "turmericlane_store_calls_total", "Calls of the store by kind.",
            {{"kind", kind}}, total);
    for (const auto& [cause, total] :
         {std::pair(store_failure::unreachable, counts.unreachable),
          std::pair(store_failure::refused, counts.refused),
          std::pair(store_failure::malformed, counts.malformed)})
        set_total(
            "turmericlane_store_call_failures_total",
            "Failed calls of the store by cause.",
            {{"cause", std::string(to_string(cause))}}, total);
    set_total(
        "turmericlane_store_history_losses_total",
        "Answers that the store lacks the changes since the revision held.", {},
        counts.history_losses);
    set_total(
        "turmericlane_store_answers_behind_total",
        "Answers of the store with a revision below the one held.", {},
        counts.answers_behind);
    set_total(
        "turmericlane_store_unchanged_items_total",
        "Items in the store's changes that changed nothing here.", {},
        counts.unchanged_items);
    for (const auto& [result, total] :
         {std::pair("started", counts.pulls),
          std::pair("failed", counts.failed_pulls)})
        set_total(
            "turmericlane_store_pulls_total",
            "Requests for a peer's copy of the store, and those that failed.",
            {{"kind", result}}, total);
    set_total(
        "turmericlane_store_feeds_ignored_total",
        "Messages of peers with items that were not used.", {},
        counts.ignored_feeds);
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

void gateway_metrics::on_attempt_failed(attempt_outcome failure)
{
    registry_
        ->counter_of(
            "turmericlane_attempt_failures_total",
            "Attempts without a usable answer.",
            {{"outcome", std::string(to_string(failure))}})
        .add();
}

void gateway_metrics::on_balance_changed(const balance_change& change)
{
    registry_
        ->gauge_of(
            "turmericlane_outside_share",
            "Share of the requests that is sent to another data centre.",
            {{"service", change.service}, {"destination", change.destination}})
        .set(change.share);
    if (!change.is_reason_new)
        return;
    registry_
        ->counter_of(
            "turmericlane_outside_share_reasons_total",
            "Changes of the reason for such a share, by the new reason.",
            {{"reason", std::string(to_string(change.reason))}})
        .add();
}

void gateway_metrics::on_connection_cut(caller_connection_end cause)
{
    registry_
        ->counter_of(
            "turmericlane_connections_cut_total",
            "Callers' connections that ended before the answer was delivered.",
            {{"cause", std::string(to_string(cause))}})
        .add();
}

void gateway_metrics::on_extra_attempt(bool is_hedge)
{
    registry_
        ->counter_of(
            "turmericlane_repeats_total", "Extra attempts by kind.",
            {{"kind", is_hedge ? "hedge" : "retry"}})
        .add();
}

} // namespace turmericlane
