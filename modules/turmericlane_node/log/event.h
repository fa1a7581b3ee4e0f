#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Log events with their numbers. The meaning of a number never changes.
    docs/events.md lists all events. */
enum class event : std::uint16_t
{
    started = 1001,
    start_failed = 1002,
    pause_detected = 1003,
    shutdown_phase = 1004,
    requests_cut = 1005,
    stopped = 1006,
    http_listening = 1007,
    bundle_in_force = 2001,
    bundle_refused = 2002,
    configuration_read_failed = 2003,
    configuration_read_restored = 2004,
    serving_unconfirmed = 2005,
    instance_list_failed = 2006,
    instance_list_restored = 2007,
    configuration_older = 2008,
    configuration_level = 2009,
    peer_connected = 3001,
    peer_closed = 3002,
    member_changed = 3003,
    booking_unknown = 4001,
    handler_failed = 5001
};

/** Severity of an event in the log. */
enum class event_severity : std::uint8_t
{
    info,
    warning,
    error
};

/** Name and severity of an event, as listed in docs/events.md. */
struct event_description
{
    event number;
    std::string_view name;
    event_severity severity;
};

/** A key and a value of a log line. */
struct event_field
{
    std::string_view key;
    std::string value;
};

/** Returns all events in the order of their numbers. */
std::span<const event_description> all_events() noexcept;

/** Returns the description of an event. */
const event_description& describe(event number) noexcept;

/** Returns the log line: "TL2001 bundle_in_force version=7 source=peer".
    Values with spaces, quotes or control bytes are quoted and escaped. */
std::string
format_event(event number, std::initializer_list<event_field> fields);

/** Writes an event to the log through glog. Any thread may call. */
void log_event(event number, std::initializer_list<event_field> fields);

} // namespace turmericlane
