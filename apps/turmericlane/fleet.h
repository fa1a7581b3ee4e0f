#pragma once

#include "instance_client.h"

#include <optional>
#include <vector>

namespace turmericlane
{

/** Flags that all commands that send requests to instances share. */
struct fleet_settings
{
    /** Declares the flags. */
    explicit fleet_settings(settings& flags);

    endpoint_list_setting& instances;
    millisecond_setting& timeout;
    flag_setting& json;
};

/** Reply of one instance, or the error of its request. */
struct instance_response
{
    std::string instance;
    result<call_reply, call_error> reply;
};

/** Returns the error of a response, or nothing if its HTTP status is 200. */
std::optional<std::string> error_of(const instance_response& response);

/** Sends a GET request to every instance, to at most 16 in parallel.
    @returns the responses in the order of the instances */
std::vector<instance_response>
send_to_all(const fleet_settings& fleet, const std::string& path);

/** Sends a request to the first instance that accepts a connection. A request
    of which any byte may have been sent is not sent to a further instance.
    @param instances  addresses in order of preference; at least one
    @param timeout    time limit for connecting and for the reply
    @param body       body of a POST request; nothing for GET */
instance_response send_to_first(
    const std::vector<ip_endpoint>& instances,
    std::chrono::milliseconds timeout,
    const std::string& path,
    const std::optional<nlohmann::json>& body);

} // namespace turmericlane
