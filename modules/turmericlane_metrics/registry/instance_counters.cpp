#include "instance_counters.h"

namespace turmericlane
{

namespace
{

std::size_t index_of(reason why) noexcept
{
    return static_cast<std::size_t>(why);
}

std::string text(std::string_view from)
{
    return std::string(from);
}

} // namespace

instance_counters::instance_counters(metrics_registry& registry)
{
    for (auto why : all_reasons())
    {
        auto& refused = refused_.emplace_back();
        auto& retried = retried_.emplace_back();
        for (auto work : all_ranks)
        {
            metric_labels labels = {
                {"reason", text(to_string(why))},
                {"rank", text(to_string(work))}};
            refused[turmericlane::index_of(work)] = &registry.counter_of(
                "turmericlane_refusals_total",
                "Requests and sub-requests that were refused.", labels);
            retried[turmericlane::index_of(work)] = &registry.counter_of(
                "turmericlane_retries_total",
                "Sub-requests that were sent again.", labels);
        }
        metric_labels labels = {{"reason", text(to_string(why))}};
        dropped_replies_.push_back(&registry.counter_of(
            "turmericlane_dropped_replies_total",
            "Replies that match nothing that is pending.", labels));
        closed_connections_.push_back(&registry.counter_of(
            "turmericlane_closed_connections_total",
            "Connections with peers that were closed.", labels));
    }
    for (auto work : all_ranks)
        hedged_[turmericlane::index_of(work)] = &registry.counter_of(
            "turmericlane_hedges_total", "Second copies of slow sub-requests.",
            {{"rank", text(to_string(work))}});
    frames_sent_ = &registry.counter_of(
        "turmericlane_frames_total", "Frames exchanged with peers.",
        {{"direction", "sent"}});
    frames_received_ = &registry.counter_of(
        "turmericlane_frames_total", "Frames exchanged with peers.",
        {{"direction", "received"}});
    platform_reads_ = &registry.counter_of(
        "turmericlane_platform_reads_total",
        "Reads and watches of the configuration service and instance list.");
}

void instance_counters::refused(reason why, rank work) noexcept
{
    refused_[index_of(why)][turmericlane::index_of(work)]->add();
}

void instance_counters::retried(reason why, rank work) noexcept
{
    retried_[index_of(why)][turmericlane::index_of(work)]->add();
}

void instance_counters::hedged(rank work) noexcept
{
    hedged_[turmericlane::index_of(work)]->add();
}

void instance_counters::dropped_reply(reason why) noexcept
{
    dropped_replies_[index_of(why)]->add();
}

void instance_counters::closed_connection(reason why) noexcept
{
    closed_connections_[index_of(why)]->add();
}

void instance_counters::frames_sent(std::uint64_t frames) noexcept
{
    frames_sent_->add(frames);
}

void instance_counters::frames_received(std::uint64_t frames) noexcept
{
    frames_received_->add(frames);
}

void instance_counters::platform_read() noexcept
{
    platform_reads_->add();
}

} // namespace turmericlane
