#include "instance_settings.h"

#include <turmericlane_settings/turmericlane_settings.h>

#include <sys/resource.h>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;
using settings_result = result<instance_settings>;

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_ordinal = 1'000'000;
constexpr std::int64_t max_http_threads = 1000;
constexpr std::int64_t max_connections = 1'000'000;
constexpr std::int64_t max_http_memory_mb = 65536;
// Of the descriptors that the process may open, by default one half is for
// callers, a quarter for peers without proof; the rest is for peers, backend
// servers and files.
constexpr std::size_t caller_descriptor_divisor = 2;
constexpr std::size_t unproven_descriptor_divisor = 4;
// Fewer connections than this beside those that are served would be too few for
// callers that connect at the same time.
constexpr std::size_t min_waiting_callers = 16;
constexpr std::size_t max_default_unproven_peers = 2400;

/** The declared settings of the daemon. */
struct declared_settings
{
    settings definitions{
        "turmericlaned [FLAGS]", "Instance of the query tier."};
    text_setting& address = definitions.add<text_setting>(
        {"address", "IP number to listen on and to be reached at", "", true},
        "IP number",
        64);
    integer_setting& http_port = definitions.add<integer_setting>(
        {"http-port", "port for callers and operators", "port"},
        8080,
        1,
        max_port);
    integer_setting& peer_port = definitions.add<integer_setting>(
        {"peer-port", "port for other instances", "port"}, 7070, 1, max_port);
    text_setting& data_centre = definitions.add<text_setting>(
        {"data-centre", "data centre of this instance", "", true}, "name", 128);
    text_setting& nearest_data_centres = definitions.add<text_setting>(
        {"nearest-data-centres", "other data centres, nearest first"},
        "names separated by commas",
        4096);
    integer_setting& index = definitions.add<integer_setting>(
        {"ordinal", "index of this instance; its replacement gets the same",
         "index", true},
        0,
        0,
        max_ordinal);
    endpoint_list_setting& configuration_service =
        definitions.add<endpoint_list_setting>(
            {"config-service", "configuration service", "", true}, 1);
    endpoint_list_setting& instance_list =
        definitions.add<endpoint_list_setting>(
            {"instance-list", "platform's list of instances", "", true}, 1);
    text_setting& trusted_keys = definitions.add<text_setting>(
        {"trusted-key", "public keys of the operators, or a file of them", "",
         true},
        "64 hexadecimal digits each, or a file name",
        4096);
    text_setting& peer_key_file = definitions.add<text_setting>(
        {"peer-key-file",
         "keys shared by the instances, one in each line, the first one signs",
         "", true},
        "name of a file with mode 0600, or env:VARIABLE",
        4096);
    text_setting& log_folder = definitions.add<text_setting>(
        {"log-dir", "folder of the log; standard error if not set"},
        "folder name",
        4096);
    millisecond_setting& answer_lifetime = definitions.add<millisecond_setting>(
        {"answer-lifetime-ms",
         "how long callers may use an answer about instances"},
        5000ms,
        100ms,
        600000ms);
    millisecond_setting& shutdown_limit = definitions.add<millisecond_setting>(
        {"shutdown-limit-ms", "longest time from SIGTERM to the end"},
        30000ms,
        100ms,
        3600000ms);
    millisecond_setting& startup_limit = definitions.add<millisecond_setting>(
        {"startup-limit-ms",
         "serves an unconfirmed version after this time without peers"},
        5000ms,
        100ms,
        600000ms);
    millisecond_setting& list_period = definitions.add<millisecond_setting>(
        {"list-period-ms", "time between reads of the instance list"},
        1000ms,
        100ms,
        60000ms);
    millisecond_setting& load_period = definitions.add<millisecond_setting>(
        {"load-period-ms", "time between reads of a backend server's load"},
        500ms,
        50ms,
        60000ms);
    integer_setting& http_threads = definitions.add<integer_setting>(
        {"http-threads", "connections of callers served at the same time"},
        128,
        4,
        max_http_threads);
    integer_setting& http_connections = definitions.add<integer_setting>(
        {"http-connections",
         "connections of callers, served or waiting; 0 for half of the "
         "descriptors that the process may open"},
        0,
        0,
        max_connections);
    integer_setting& http_memory_mb = definitions.add<integer_setting>(
        {"http-memory-mb", "memory for requests and responses of callers",
         "MB"},
        32,
        1,
        max_http_memory_mb);
    millisecond_setting& http_request_timeout =
        definitions.add<millisecond_setting>(
            {"http-request-timeout-ms",
             "longest time from the first byte of a request to its last"},
            10000ms,
            100ms,
            600000ms);
    integer_setting& unproven_peers = definitions.add<integer_setting>(
        {"unproven-peers",
         "connections at the peer port that have not proved to come from a "
         "peer; 0 for a quarter of the descriptors, at most 2400"},
        0,
        0,
        max_connections);
};

/** Returns the number of descriptors that the process may open. */
std::size_t descriptor_limit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

/** Sets the limits of callers and peers, some of which follow from others. */
void set_connection_limits(
    const declared_settings& declared, instance_settings& values)
{
    const auto as_size = [](const integer_setting& it)
    { return static_cast<std::size_t>(it.value()); };
    values.http_threads = as_size(declared.http_threads);
    values.http_connections = as_size(declared.http_connections);
    if (values.http_connections == 0)
        values.http_connections =
            descriptor_limit() / caller_descriptor_divisor;
    values.http_connections = std::max(
        values.http_connections, values.http_threads + min_waiting_callers);
    values.http_memory_bytes = as_size(declared.http_memory_mb) << 20U;
    values.http_request_timeout = declared.http_request_timeout.as_duration();
    values.unproven_peers = as_size(declared.unproven_peers);
    if (values.unproven_peers == 0)
        values.unproven_peers = std::clamp<std::size_t>(
            descriptor_limit() / unproven_descriptor_divisor, 1,
            max_default_unproven_peers);
}

std::vector<std::string> split_at_commas(const std::string& text)
{
    std::vector<std::string> names;
    std::istringstream stream(text);
    std::string name;
    while (std::getline(stream, name, ','))
        if (!name.empty())
            names.push_back(name);
    return names;
}

host_port first_endpoint(const endpoint_list_setting& setting)
{
    const auto& it = setting.value().front();
    return {it.address, it.port};
}

instance_settings make_settings(const declared_settings& declared)
{
    instance_settings values;
    values.address = declared.address.value();
    values.http_port = static_cast<std::uint16_t>(declared.http_port.value());
    values.peer_port = static_cast<std::uint16_t>(declared.peer_port.value());
    values.data_centre = declared.data_centre.value();
    values.nearest_data_centres =
        split_at_commas(declared.nearest_data_centres.value());
    values.index = static_cast<ordinal>(declared.index.value());
    values.configuration_service =
        first_endpoint(declared.configuration_service);
    values.instance_list = first_endpoint(declared.instance_list);
    values.trusted_keys = declared.trusted_keys.value();
    values.peer_key_file = declared.peer_key_file.value();
    values.log_folder = declared.log_folder.value();
    values.answer_lifetime = declared.answer_lifetime.as_duration();
    values.shutdown_limit = declared.shutdown_limit.as_duration();
    values.startup_limit = declared.startup_limit.as_duration();
    values.list_period = declared.list_period.as_duration();
    values.load_period = declared.load_period.as_duration();
    set_connection_limits(declared, values);
    return values;
}

} // namespace

result<instance_settings> read_instance_settings(
    std::span<const char* const> arguments, std::ostream& help)
{
    declared_settings declared;
    const auto parsed_flags =
        declared.definitions.parse(arguments.subspan(1), process_environment());
    if (parsed_flags.state == parse_state::help)
    {
        help << declared.definitions.help();
        return settings_result::failure({});
    }
    if (parsed_flags.state == parse_state::invalid)
        return settings_result::failure(parsed_flags.error);
    auto values = make_settings(declared);
    if (!parse_ip_endpoint(values.address + ":1") &&
        !parse_ip_endpoint("[" + values.address + "]:1"))
        return settings_result::failure(
            "--address: \"" + values.address +
            "\" is wrong; accepted: IP number");
    return values;
}

} // namespace turmericlane
