#pragma once

#include "instance_client.h"

#include <optional>
#include <vector>

namespace turmericlane
{

/** Flags that the commands for instances share. */
struct fleet_settings
{
    /** Declares the flags. */
    explicit fleet_settings(settings& to);

    endpoint_list_setting& instances;
    millisecond_setting& timeout;
    flag_setting& json;
};

/** Reply or error of one instance. */
struct fleet_reply
{
    std::string instance;
    result<call_reply, call_error> reply;
};

/** Error of a reply, or nothing for a reply with HTTP status 200. */
std::optional<std::string> error_of(const fleet_reply& from);

/** Sends a GET request to every instance, to at most 16 at the same time.
    @returns the replies in the order of the instances */
std::vector<fleet_reply>
ask_all(const fleet_settings& fleet, const std::string& path);

/** Sends a request to the first instance that accepts a connection. A request
    that may have left is not sent again.
    @param fleet    instances in order of preference
    @param timeout  bound on connecting and on the reply
    @param path     path of the request
    @param body     body of a POST request; nothing for GET */
fleet_reply ask_first(
    const std::vector<ip_endpoint>& fleet,
    std::chrono::milliseconds timeout,
    const std::string& path,
    const std::optional<nlohmann::json>& body);

} // namespace turmericlane
