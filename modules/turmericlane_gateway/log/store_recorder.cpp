#include "store_recorder.h"

namespace turmericlane
{

namespace
{

constexpr auto min_line_distance = std::chrono::seconds(1);

} // namespace

store_recorder::store_recorder(json_log& log, const clock& time)
    : log_(log)
    , clock_(time)
{
}

void store_recorder::on_lost(store_failure cause, duration age)
{
    log_.write_state(
        gateway_event::store_lost,
        {{"why", to_string(cause)}, {"age_ms", to_milliseconds(age)}});
}

void store_recorder::on_returned()
{
    log_.write_state(gateway_event::store_returned, {});
}

void store_recorder::on_complete(
    std::size_t searcher_count, std::uint64_t revision)
{
    log_.write_state(
        gateway_event::store_complete,
        {{"searchers", static_cast<std::int64_t>(searcher_count)},
         {"revision", static_cast<std::int64_t>(revision)}});
}

void store_recorder::on_history_lost(std::uint64_t held_revision)
{
    ++unwritten_history_losses_;
    const auto now = clock_.now();
    if (now < next_history_line_)
        return;
    next_history_line_ = now + min_line_distance;
    log_.write_state(
        gateway_event::store_history_lost,
        {{"held_revision", static_cast<std::int64_t>(held_revision)},
         {"times", unwritten_history_losses_}});
    unwritten_history_losses_ = 0;
}

void store_recorder::on_reverted(const store_return_report& report)
{
    log_.write_state(
        gateway_event::store_reverted,
        {{"found_by", to_string(report.evidence)},
         {"era_before", static_cast<std::int64_t>(report.before.era.reported)},
         {"inferred_before",
          static_cast<std::int64_t>(report.before.era.inferred)},
         {"revision_before", static_cast<std::int64_t>(report.before.revision)},
         {"era", static_cast<std::int64_t>(report.after.era.reported)},
         {"inferred", static_cast<std::int64_t>(report.after.era.inferred)},
         {"revision", static_cast<std::int64_t>(report.after.revision)},
         {"retained", static_cast<std::int64_t>(report.retained_items)}});
}

void store_recorder::on_answer_refused(
    std::uint64_t stated_era, std::uint64_t known_era)
{
    ++unwritten_refusals_;
    const auto now = clock_.now();
    if (now < next_refusal_line_)
        return;
    next_refusal_line_ = now + min_line_distance;
    log_.write_state(
        gateway_event::store_answer_refused,
        {{"stated_era", static_cast<std::int64_t>(stated_era)},
         {"known_era", static_cast<std::int64_t>(known_era)},
         {"times", unwritten_refusals_}});
    unwritten_refusals_ = 0;
}

void store_recorder::on_not_followed(const follow_report& report)
{
    log_.write_state(
        gateway_event::store_not_followed,
        {{"why", to_string(report.why)},
         {"failure",
          report.failure ? to_string(*report.failure) : std::string_view()},
         {"age_ms", to_milliseconds(report.age)},
         {"held_revision", static_cast<std::int64_t>(report.held_revision)},
         {"answered_revision",
          static_cast<std::int64_t>(report.answered_revision)}});
}

void store_recorder::on_followed(
    duration duration_behind, std::uint64_t revision)
{
    log_.write_state(
        gateway_event::store_followed,
        {{"after_ms", to_milliseconds(duration_behind)},
         {"revision", static_cast<std::int64_t>(revision)}});
}

} // namespace turmericlane
