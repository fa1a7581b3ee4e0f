#pragma once

#include "../loop/event_loop.h"

#include <turmericlane_core/turmericlane_core.h>

#include <boost/asio/posix/basic_stream_descriptor.hpp>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericlane
{

/** Events of a gateway in the log, with the numbers that are written there.
    docs/gateway-events.md explains them. */
enum class gateway_event : std::uint16_t
{
    started = 6001,
    start_failed = 6002,
    settings_changed = 6003,
    shutdown_phase = 6004,
    stopped = 6005,
    process_paused = 6006,
    lines_dropped = 6007,
    termination_signal = 6008,
    reload_signal = 6009,
    loop_ended = 6010,
    configuration_in_force = 6101,
    configuration_ignored = 6102,
    store_lost = 6103,
    store_returned = 6104,
    store_complete = 6105,
    entry_ignored = 6106,
    evacuation_started = 6107,
    evacuation_ended = 6108,
    store_history_lost = 6109,
    store_reverted = 6110,
    store_answer_refused = 6111,
    store_not_followed = 6112,
    store_followed = 6113,
    searcher_added = 6201,
    searcher_leaving = 6202,
    searcher_quiet = 6203,
    searcher_cold = 6204,
    member_changed = 6301,
    work_divided = 6303,
    warm_up_divided = 6304,
    balance_changed = 6305,
    request_answered = 6401,
    request_refused = 6402,
    request_failed = 6403,
    request_abandoned = 6404,
    request_malformed = 6405,
    request_open = 6406,
    connection_cut = 6407,
    attempt_failed = 6501,
    attempt_repeated = 6502,
    answer_unmatched = 6503,
    field_ignored = 6504,
    answer_too_large = 6505
};

/** Returns an event's name, as it is written to the log. */
std::string_view to_string(gateway_event value) noexcept;

/** Returns all events, ordered by number. */
std::vector<gateway_event> all_gateway_events();

/** A key and its value in a log line. */
struct log_field
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/** Writes events to a file descriptor as JSON, one object per line.

    Lines are buffered and written without blocking the event loop. The buffer
    and the rate of lines about single requests are bounded; lines beyond these
    bounds are dropped, counted and reported by the event lines_dropped. Only
    one thread may use it.
*/
class json_log
{
public:
    /** @param descriptor  file descriptor that is open for writing; the log
                           makes it non-blocking and closes it at the end
        @param instance    name of this instance, written in each line */
    json_log(
        event_context& loop,
        const clock& time,
        int descriptor,
        std::string instance);

    /** Writes a line about a single request or attempt, or drops it if such
        lines exceed the bound on their rate. */
    void
    write_detail(gateway_event event, std::initializer_list<log_field> fields);

    /** Writes a line about the state of the instance. */
    void
    write_state(gateway_event event, std::initializer_list<log_field> fields);

    /** The same, with fields that are not known until the call. */
    void write_state(gateway_event event, std::span<const log_field> fields);

    /** Writes buffered lines until all are written or the descriptor would
        block. */
    void flush();

    /** Returns the number of lines dropped since the start. */
    std::uint64_t dropped_line_count() const noexcept
    {
        return dropped_line_count_;
    }

private:
    void append(gateway_event event, std::span<const log_field> fields);
    void refill_tokens();

    using descriptor_stream =
        boost::asio::posix::basic_stream_descriptor<loop_executor>;

    const clock& clock_;
    descriptor_stream stream_;
    std::string instance_;
    std::string buffer_;
    double tokens_;
    time_point last_refill_;
    std::uint64_t dropped_line_count_ = 0;
    std::uint64_t reported_line_count_ = 0;
};

} // namespace turmericlane
