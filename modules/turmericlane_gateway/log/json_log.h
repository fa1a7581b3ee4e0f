#pragma once

#include "../loop/event_loop.h"

#include <turmericlane_core/turmericlane_core.h>

#include <boost/asio/posix/basic_stream_descriptor.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericlane
{

/** Numbered events of a gateway; docs/events.md explains them. */
enum class gateway_event : std::uint16_t
{
    started = 6001,
    start_failed = 6002,
    settings_changed = 6003,
    shutdown_phase = 6004,
    stopped = 6005,
    process_paused = 6006,
    lines_dropped = 6007,
    configuration_in_force = 6101,
    configuration_ignored = 6102,
    store_lost = 6103,
    store_returned = 6104,
    store_complete = 6105,
    entry_ignored = 6106,
    searcher_added = 6201,
    searcher_leaving = 6202,
    member_changed = 6301,
    work_divided = 6303,
    request_answered = 6401,
    request_refused = 6402,
    request_failed = 6403,
    request_abandoned = 6404,
    request_malformed = 6405,
    attempt_failed = 6501,
    attempt_repeated = 6502
};

/** Name of an event, as in the catalogue. */
std::string_view to_string(gateway_event value) noexcept;

/** Every event in the order of its number. */
std::vector<gateway_event> all_gateway_events();

/** A key and a value of a log line. */
struct log_field
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/** Writes events as JSON, one object a line, to a descriptor.

    Lines are buffered and written without blocking from the event loop. Both
    the rate of lines and the buffer are bounded; what exceeds them is dropped,
    counted and reported by lines_dropped. One thread uses it.
*/
class json_log
{
public:
    /** @param descriptor  open for writing; it is made non-blocking, and closed
                           in the end
        @param instance    name of this process in each line */
    json_log(
        event_context& loop,
        const clock& time,
        int descriptor,
        std::string instance);

    /** Writes a line about a single request or attempt; these are the ones that
        the bound on the rate drops. */
    void detail(gateway_event what, std::initializer_list<log_field> fields);

    /** Writes a line about the state of the instance. */
    void state(gateway_event what, std::initializer_list<log_field> fields);

    /** Writes what is buffered as far as the reader takes it. */
    void flush();

    /** Lines dropped since the start. */
    std::uint64_t dropped() const noexcept
    {
        return dropped_;
    }

private:
    void append(gateway_event what, std::initializer_list<log_field> fields);
    void refill();

    using descriptor_stream =
        boost::asio::posix::basic_stream_descriptor<loop_executor>;

    const clock& clock_;
    descriptor_stream out_;
    std::string instance_;
    std::string buffer_;
    double tokens_;
    time_point refilled_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

} // namespace turmericlane
