#include "event.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using enum event_severity;

constexpr event_description descriptions[] = {
    {event::started, "started", info},
    {event::start_failed, "start_failed", error},
    {event::pause_detected, "pause_detected", warning},
    {event::shutdown_phase, "shutdown_phase", info},
    {event::requests_cut, "requests_cut", error},
    {event::stopped, "stopped", info},
    {event::http_listening, "http_listening", info},
    {event::bundle_in_force, "bundle_in_force", info},
    {event::bundle_refused, "bundle_refused", warning},
    {event::configuration_read_failed, "configuration_read_failed", warning},
    {event::configuration_read_restored, "configuration_read_restored", info},
    {event::serving_unconfirmed, "serving_unconfirmed", warning},
    {event::instance_list_failed, "instance_list_failed", warning},
    {event::instance_list_restored, "instance_list_restored", info},
    {event::configuration_older, "configuration_older", warning},
    {event::configuration_level, "configuration_level", info},
    {event::peer_connected, "peer_connected", info},
    {event::peer_closed, "peer_closed", info},
    {event::member_changed, "member_changed", info},
    {event::booking_unknown, "booking_unknown", warning},
    {event::handler_failed, "handler_failed", error},
};

bool needs_quotes(std::string_view value)
{
    if (value.empty())
        return true;
    return std::any_of(
        value.begin(), value.end(),
        [](unsigned char c)
        { return c <= ' ' || c == '"' || c == '=' || c >= 0x7f; });
}

std::string quote_value(const std::string& value)
{
    if (!needs_quotes(value))
        return value;
    return nlohmann::json(value).dump(
        -1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::span<const event_description> all_events() noexcept
{
    return descriptions;
}

const event_description& describe(event number) noexcept
{
    const auto* description = std::find_if(
        std::begin(descriptions), std::end(descriptions),
        [number](const auto& it) { return it.number == number; });
    assert(description != std::end(descriptions));
    return *description;
}

std::string
format_event(event number, std::initializer_list<event_field> fields)
{
    const auto& description = describe(number);
    std::string line = "TL" + std::to_string(static_cast<unsigned>(number));
    line += ' ';
    line += description.name;
    for (const auto& it : fields)
    {
        line += ' ';
        line += it.key;
        line += '=';
        line += quote_value(it.value);
    }
    return line;
}

void log_event(event number, std::initializer_list<event_field> fields)
{
    const auto line = format_event(number, fields);
    switch (describe(number).severity)
    {
    case info:
        LOG(INFO) << line;
        return;
    case warning:
        LOG(WARNING) << line;
        return;
    case error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace turmericlane
