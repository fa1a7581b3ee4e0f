#include "instance_counters.h"

namespace turmericlane
{

namespace
{

std::size_t index_of(reason cause) noexcept
{
    return static_cast<std::size_t>(cause);
}

std::string copy_text(std::string_view view)
{
    return std::string(view);
}

} // namespace

instance_counters::instance_counters(metrics_registry& registry)
{
    for (auto cause : all_reasons())
    {
        auto& refusal_counters = refusals_.emplace_back();
        auto& retry_counters = retries_.emplace_back();
        for (auto request_rank : all_ranks)
        {
            metric_labels labels = {
                {"reason", copy_text(to_string(cause))},
                {"rank", copy_text(to_string(request_rank))}};
            refusal_counters[turmericlane::index_of(request_rank)] =
                &registry.counter_of(
                    "turmericlane_refusals_total",
                    "Requests and sub-requests that were refused.", labels);
            retry_counters[turmericlane::index_of(request_rank)] =
                &registry.counter_of(
                    "turmericlane_retries_total", "Retries of sub-requests.",
                    labels);
        }
        metric_labels labels = {{"reason", copy_text(to_string(cause))}};
        dropped_replies_.push_back(&registry.counter_of(
            "turmericlane_dropped_replies_total",
            "Replies that match no pending request.", labels));
        closed_connections_.push_back(&registry.counter_of(
            "turmericlane_closed_connections_total",
            "Connections to peers that were closed.", labels));
    }
    for (auto request_rank : all_ranks)
        hedges_[turmericlane::index_of(request_rank)] = &registry.counter_of(
            "turmericlane_hedges_total", "Hedges of slow sub-requests.",
            {{"rank", copy_text(to_string(request_rank))}});
    frames_sent_ = &registry.counter_of(
        "turmericlane_frames_total", "Frames exchanged with peers.",
        {{"direction", "sent"}});
    frames_received_ = &registry.counter_of(
        "turmericlane_frames_total", "Frames exchanged with peers.",
        {{"direction", "received"}});
    platform_reads_ = &registry.counter_of(
        "turmericlane_platform_reads_total",
        "Reads and watches of the configuration service and instance list.");
    older_configurations_ = &registry.counter_of(
        "turmericlane_older_configurations_total",
        "Answers of the configuration service that show that it has no version "
        "as high as the one in force.");
}

void instance_counters::count_refusal(reason cause, rank request_rank) noexcept
{
    refusals_[index_of(cause)][turmericlane::index_of(request_rank)]->add();
}

void instance_counters::count_retry(reason cause, rank request_rank) noexcept
{
    retries_[index_of(cause)][turmericlane::index_of(request_rank)]->add();
}

void instance_counters::count_hedge(rank request_rank) noexcept
{
    hedges_[turmericlane::index_of(request_rank)]->add();
}

void instance_counters::count_dropped_reply(reason cause) noexcept
{
    dropped_replies_[index_of(cause)]->add();
}

void instance_counters::count_closed_connection(reason cause) noexcept
{
    closed_connections_[index_of(cause)]->add();
}

void instance_counters::count_sent_frames(std::uint64_t frames) noexcept
{
    frames_sent_->add(frames);
}

void instance_counters::count_received_frames(std::uint64_t frames) noexcept
{
    frames_received_->add(frames);
}

void instance_counters::count_platform_read() noexcept
{
    platform_reads_->add();
}

void instance_counters::count_older_configuration() noexcept
{
    older_configurations_->add();
}

} // namespace turmericlane
