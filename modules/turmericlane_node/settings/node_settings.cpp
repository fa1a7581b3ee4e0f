#include "node_settings.h"

#include <turmericlane_settings/turmericlane_settings.h>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;
using failed = result<node_settings>;

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_ordinal = 1'000'000;
constexpr std::int64_t max_http_threads = 1000;

/** The declared settings of the daemon. */
struct declared_settings
{
    settings all{"turmericlaned [FLAGS]", "Instance of the query tier."};
    text_setting& address = all.add<text_setting>(
        {"address", "IP number to listen on and to be reached at", "", true},
        "IP number",
        64);
    integer_setting& http_port = all.add<integer_setting>(
        {"http-port", "port for callers and operators", "port"},
        8080,
        1,
        max_port);
    integer_setting& peer_port = all.add<integer_setting>(
        {"peer-port", "port for other instances", "port"}, 7070, 1, max_port);
    text_setting& data_centre = all.add<text_setting>(
        {"data-centre", "data centre of this instance", "", true}, "name", 128);
    text_setting& nearest = all.add<text_setting>(
        {"nearest-data-centres", "other data centres, nearest first"},
        "names separated by commas",
        4096);
    integer_setting& index = all.add<integer_setting>(
        {"ordinal", "index of this instance; its replacement gets the same",
         "index", true},
        0,
        0,
        max_ordinal);
    endpoint_list_setting& configuration = all.add<endpoint_list_setting>(
        {"config-service", "configuration service", "", true}, 1);
    endpoint_list_setting& list = all.add<endpoint_list_setting>(
        {"instance-list", "platform's list of instances", "", true}, 1);
    text_setting& trusted = all.add<text_setting>(
        {"trusted-key", "public keys of the operators, or a file of them", "",
         true},
        "64 hexadecimal digits each, or a file name",
        4096);
    text_setting& peer_keys = all.add<text_setting>(
        {"peer-key-file",
         "keys shared by the instances, one in each line, the first one signs",
         "", true},
        "name of a file with mode 0600, or env:VARIABLE",
        4096);
    text_setting& log_folder = all.add<text_setting>(
        {"log-dir", "folder of the log; standard error if not set"},
        "folder name",
        4096);
    millisecond_setting& answer_lifetime = all.add<millisecond_setting>(
        {"answer-lifetime-ms",
         "how long callers may use an answer about instances"},
        5000ms,
        100ms,
        600000ms);
    millisecond_setting& shutdown_limit = all.add<millisecond_setting>(
        {"shutdown-limit-ms", "longest time from SIGTERM to the end"},
        30000ms,
        100ms,
        3600000ms);
    millisecond_setting& startup_limit = all.add<millisecond_setting>(
        {"startup-limit-ms",
         "serves an unconfirmed version after this time without peers"},
        5000ms,
        100ms,
        600000ms);
    millisecond_setting& list_period = all.add<millisecond_setting>(
        {"list-period-ms", "time between reads of the instance list"},
        1000ms,
        100ms,
        60000ms);
    millisecond_setting& load_period = all.add<millisecond_setting>(
        {"load-period-ms", "time between reads of a backend server's load"},
        500ms,
        50ms,
        60000ms);
    integer_setting& http_threads = all.add<integer_setting>(
        {"http-threads", "connections of callers served at the same time"},
        128,
        4,
        max_http_threads);
};

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> names;
    std::istringstream from(list);
    std::string name;
    while (std::getline(from, name, ','))
        if (!name.empty())
            names.push_back(name);
    return names;
}

host_port first_of(const endpoint_list_setting& from)
{
    const auto& it = from.value().front();
    return {it.address, it.port};
}

node_settings values_of(const declared_settings& from)
{
    node_settings made;
    made.address = from.address.value();
    made.http_port = static_cast<std::uint16_t>(from.http_port.value());
    made.peer_port = static_cast<std::uint16_t>(from.peer_port.value());
    made.data_centre = from.data_centre.value();
    made.nearest_data_centres = split(from.nearest.value());
    made.index = static_cast<ordinal>(from.index.value());
    made.configuration_service = first_of(from.configuration);
    made.instance_list = first_of(from.list);
    made.trusted_keys = from.trusted.value();
    made.peer_key_file = from.peer_keys.value();
    made.log_folder = from.log_folder.value();
    made.answer_lifetime = from.answer_lifetime.as_duration();
    made.shutdown_limit = from.shutdown_limit.as_duration();
    made.startup_limit = from.startup_limit.as_duration();
    made.list_period = from.list_period.as_duration();
    made.load_period = from.load_period.as_duration();
    made.http_threads = static_cast<std::size_t>(from.http_threads.value());
    return made;
}

} // namespace

result<node_settings>
read_node_settings(std::span<const char* const> arguments, std::ostream& help)
{
    declared_settings declared;
    const auto outcome =
        declared.all.parse(arguments.subspan(1), process_environment());
    if (outcome.state == parse_state::help)
    {
        help << declared.all.help();
        return failed::failure({});
    }
    if (outcome.state == parse_state::invalid)
        return failed::failure(outcome.error);
    auto made = values_of(declared);
    if (!parse_ip_endpoint(made.address + ":1") &&
        !parse_ip_endpoint("[" + made.address + "]:1"))
        return failed::failure(
            "--address: \"" + made.address +
            "\" is wrong; accepted: IP number");
    return made;
}

} // namespace turmericlane
