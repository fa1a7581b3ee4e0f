#include "json_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace turmericlane
{

namespace
{

/** Rate of lines about single requests, and the most in one burst. */
constexpr double detail_lines_per_second = 40.0;
constexpr double detail_burst = 120.0;
/** Buffered bytes beyond which lines are dropped. */
constexpr std::size_t max_buffered_bytes = 256U << 10U;

struct event_name
{
    gateway_event event;
    std::string_view name;
};

constexpr event_name event_names[] = {
    {gateway_event::started, "started"},
    {gateway_event::start_failed, "start_failed"},
    {gateway_event::settings_changed, "settings_changed"},
    {gateway_event::shutdown_phase, "shutdown_phase"},
    {gateway_event::stopped, "stopped"},
    {gateway_event::process_paused, "process_paused"},
    {gateway_event::lines_dropped, "lines_dropped"},
    {gateway_event::termination_signal, "termination_signal"},
    {gateway_event::reload_signal, "reload_signal"},
    {gateway_event::loop_ended, "loop_ended"},
    {gateway_event::configuration_in_force, "configuration_in_force"},
    {gateway_event::configuration_ignored, "configuration_ignored"},
    {gateway_event::store_lost, "store_lost"},
    {gateway_event::store_returned, "store_returned"},
    {gateway_event::store_complete, "store_complete"},
    {gateway_event::entry_ignored, "entry_ignored"},
    {gateway_event::evacuation_started, "evacuation_started"},
    {gateway_event::evacuation_ended, "evacuation_ended"},
    {gateway_event::store_history_lost, "store_history_lost"},
    {gateway_event::store_reverted, "store_reverted"},
    {gateway_event::store_answer_refused, "store_answer_refused"},
    {gateway_event::store_not_followed, "store_not_followed"},
    {gateway_event::store_followed, "store_followed"},
    {gateway_event::searcher_added, "searcher_added"},
    {gateway_event::searcher_leaving, "searcher_leaving"},
    {gateway_event::searcher_quiet, "searcher_quiet"},
    {gateway_event::searcher_cold, "searcher_cold"},
    {gateway_event::member_changed, "member_changed"},
    {gateway_event::work_divided, "work_divided"},
    {gateway_event::warm_up_divided, "warm_up_divided"},
    {gateway_event::balance_changed, "balance_changed"},
    {gateway_event::request_answered, "request_answered"},
    {gateway_event::request_refused, "request_refused"},
    {gateway_event::request_failed, "request_failed"},
    {gateway_event::request_abandoned, "request_abandoned"},
    {gateway_event::request_malformed, "request_malformed"},
    {gateway_event::request_open, "request_open"},
    {gateway_event::connection_cut, "connection_cut"},
    {gateway_event::attempt_failed, "attempt_failed"},
    {gateway_event::attempt_repeated, "attempt_repeated"},
    {gateway_event::answer_unmatched, "answer_unmatched"},
    {gateway_event::field_ignored, "field_ignored"},
    {gateway_event::answer_too_large, "answer_too_large"},
};

} // namespace

std::string_view to_string(gateway_event value) noexcept
{
    for (const auto& it : event_names)
    {
        if (it.event == value)
            return it.name;
    }
    return "unknown";
}

std::vector<gateway_event> all_gateway_events()
{
    std::vector<gateway_event> events;
    events.reserve(std::size(event_names));
    for (const auto& it : event_names)
        events.push_back(it.event);
    return events;
}

json_log::json_log(
    event_context& loop,
    const clock& time,
    int descriptor,
    std::string instance)
    : clock_(time)
    , stream_(loop.get_executor())
    , instance_(std::move(instance))
    , tokens_(detail_burst)
    , last_refill_(time.now())
{
    boost::system::error_code ec;
    stream_.assign(descriptor, ec);
    // Asio cannot wait for a regular file, but write_some does not need it to.
    stream_.non_blocking(true, ec);
}

void json_log::write_detail(
    gateway_event event, std::initializer_list<log_field> fields)
{
    refill_tokens();
    if (tokens_ < 1.0)
    {
        ++dropped_line_count_;
        return;
    }
    tokens_ -= 1.0;
    append(event, {fields.begin(), fields.size()});
}

void json_log::write_state(
    gateway_event event, std::initializer_list<log_field> fields)
{
    append(event, {fields.begin(), fields.size()});
}

void json_log::write_state(
    gateway_event event, std::span<const log_field> fields)
{
    append(event, fields);
}

void json_log::flush()
{
    // While the reader is behind, a report would only fill the buffer further.
    if (dropped_line_count_ != reported_line_count_ &&
        buffer_.size() < max_buffered_bytes / 2)
    {
        write_state(
            gateway_event::lines_dropped,
            {{"lines", static_cast<std::int64_t>(
                           dropped_line_count_ - reported_line_count_)}});
        reported_line_count_ = dropped_line_count_;
    }
    while (!buffer_.empty())
    {
        boost::system::error_code ec;
        const auto n = stream_.write_some(boost::asio::buffer(buffer_), ec);
        if (ec || n == 0)
            return;
        buffer_.erase(0, n);
    }
}

void json_log::append(gateway_event event, std::span<const log_field> fields)
{
    if (buffer_.size() > max_buffered_bytes)
    {
        ++dropped_line_count_;
        return;
    }
    nlohmann::ordered_json line;
    using std::chrono::milliseconds;
    line["time_ms"] = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    // The monotonic time keeps the order of lines when the system clock jumps.
    line["up_ms"] = std::chrono::duration_cast<milliseconds>(
                        clock_.now().time_since_epoch())
                        .count();
    line["instance"] = instance_;
    line["event"] = static_cast<unsigned>(event);
    line["name"] = to_string(event);
    for (const auto& it : fields)
        std::visit(
            [&](const auto& value) { line[std::string(it.key)] = value; },
            it.value);
    buffer_ +=
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    buffer_ += '\n';
}

void json_log::refill_tokens()
{
    const auto now = clock_.now();
    const auto seconds =
        std::chrono::duration<double>(now - last_refill_).count();
    last_refill_ = now;
    tokens_ =
        std::min(detail_burst, tokens_ + seconds * detail_lines_per_second);
}

} // namespace turmericlane
