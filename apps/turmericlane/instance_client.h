#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_settings/turmericlane_settings.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace turmericlane
{

/** Why an instance gave no reply. */
struct call_error
{
    /** True if no byte of the request can have left. */
    bool not_sent = true;
    std::string detail;
};

/** Reply of an instance with any HTTP status. */
struct call_reply
{
    int status = 0;
    std::string body;
};

/** Sends HTTP requests to one instance; each opens a connection.

    @see settings
*/
class instance_client
{
public:
    /** @param target   address and port of the instance's HTTP interface
        @param timeout  bound on connecting, and on the wait for the reply */
    instance_client(ip_endpoint target, std::chrono::milliseconds timeout);

    /** Sends a GET request. */
    result<call_reply, call_error> get(const std::string& path) const;

    /** Sends a POST request with a JSON body. */
    result<call_reply, call_error>
    post(const std::string& path, const nlohmann::json& body) const;

    /** Address and port as text. */
    std::string name() const;

private:
    ip_endpoint target_;
    std::chrono::milliseconds timeout_;
};

/** Body of a reply as JSON; a discarded value if it is none. */
nlohmann::json parse_body(const call_reply& reply);

/** One line about a reply that is no success: "verdict/reason: detail (HTTP
    status)", or only the HTTP status without a verdict. */
std::string describe_refusal(const call_reply& reply);

} // namespace turmericlane
