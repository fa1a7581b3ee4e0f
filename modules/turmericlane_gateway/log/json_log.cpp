#include "json_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace turmericlane
{

namespace
{

/** Lines about single requests in a second, and at once. */
constexpr double detail_lines_per_second = 40.0;
constexpr double detail_burst = 120.0;
/** Bytes that wait for a reader. */
constexpr std::size_t max_buffered_bytes = 256U << 10U;

struct event_name
{
    gateway_event number;
    std::string_view name;
};

constexpr event_name names[] = {
    {gateway_event::started, "started"},
    {gateway_event::start_failed, "start_failed"},
    {gateway_event::settings_changed, "settings_changed"},
    {gateway_event::shutdown_phase, "shutdown_phase"},
    {gateway_event::stopped, "stopped"},
    {gateway_event::process_paused, "process_paused"},
    {gateway_event::lines_dropped, "lines_dropped"},
    {gateway_event::configuration_in_force, "configuration_in_force"},
    {gateway_event::configuration_ignored, "configuration_ignored"},
    {gateway_event::store_lost, "store_lost"},
    {gateway_event::store_returned, "store_returned"},
    {gateway_event::store_complete, "store_complete"},
    {gateway_event::entry_ignored, "entry_ignored"},
    {gateway_event::searcher_added, "searcher_added"},
    {gateway_event::searcher_leaving, "searcher_leaving"},
    {gateway_event::member_changed, "member_changed"},
    {gateway_event::work_divided, "work_divided"},
    {gateway_event::request_answered, "request_answered"},
    {gateway_event::request_refused, "request_refused"},
    {gateway_event::request_failed, "request_failed"},
    {gateway_event::request_abandoned, "request_abandoned"},
    {gateway_event::request_malformed, "request_malformed"},
    {gateway_event::attempt_failed, "attempt_failed"},
    {gateway_event::attempt_repeated, "attempt_repeated"},
};

} // namespace

std::string_view to_string(gateway_event value) noexcept
{
    for (const auto& it : names)
    {
        if (it.number == value)
            return it.name;
    }
    return "unknown";
}

std::vector<gateway_event> all_gateway_events()
{
    std::vector<gateway_event> made;
    made.reserve(std::size(names));
    for (const auto& it : names)
        made.push_back(it.number);
    return made;
}

json_log::json_log(
    event_context& loop,
    const clock& time,
    int descriptor,
    std::string instance)
    : clock_(time)
    , out_(loop.get_executor())
    , instance_(std::move(instance))
    , tokens_(detail_burst)
    , refilled_(time.now())
{
    boost::system::error_code ec;
    out_.assign(descriptor, ec);
    // A regular file is never waited for; write_some works on it all the same.
    out_.non_blocking(true, ec);
}

void json_log::detail(
    gateway_event what, std::initializer_list<log_field> fields)
{
    refill();
    if (tokens_ < 1.0)
    {
        ++dropped_;
        return;
    }
    tokens_ -= 1.0;
    append(what, fields);
}

void json_log::state(
    gateway_event what, std::initializer_list<log_field> fields)
{
    append(what, fields);
}

void json_log::flush()
{
    // While the reader is behind, a report would only add to what waits.
    if (dropped_ != reported_ && buffer_.size() < max_buffered_bytes / 2)
    {
        append(
            gateway_event::lines_dropped,
            {{"lines", static_cast<std::int64_t>(dropped_ - reported_)}});
        reported_ = dropped_;
    }
    while (!buffer_.empty())
    {
        boost::system::error_code ec;
        const auto n = out_.write_some(boost::asio::buffer(buffer_), ec);
        if (ec || n == 0)
            return;
        buffer_.erase(0, n);
    }
}

void json_log::append(
    gateway_event what, std::initializer_list<log_field> fields)
{
    if (buffer_.size() > max_buffered_bytes)
    {
        ++dropped_;
        return;
    }
    nlohmann::ordered_json line;
    using std::chrono::milliseconds;
    line["time_ms"] = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    // The monotonic time orders the lines when the time of day jumps.
    line["up_ms"] = std::chrono::duration_cast<milliseconds>(
                        clock_.now().time_since_epoch())
                        .count();
    line["instance"] = instance_;
    line["event"] = static_cast<unsigned>(what);
    line["name"] = to_string(what);
    for (const auto& it : fields)
        std::visit(
            [&](const auto& value) { line[std::string(it.key)] = value; },
            it.value);
    buffer_ +=
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    buffer_ += '\n';
}

void json_log::refill()
{
    const auto now = clock_.now();
    const auto span = std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    tokens_ = std::min(detail_burst, tokens_ + span * detail_lines_per_second);
}

} // namespace turmericlane
