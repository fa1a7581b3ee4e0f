#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_settings/turmericlane_settings.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace turmericlane
{

/** Error of a request to which no valid reply arrived. */
struct call_error
{
    /** True if no byte of the request was sent. */
    bool not_sent = true;
    std::string detail;
};

/** Reply of an instance, whatever its HTTP status. */
struct call_reply
{
    int status = 0;
    std::string body;
};

/** Sends HTTP requests to one instance, each on a new connection. */
class instance_client
{
public:
    /** @param target   address and port of the instance's HTTP interface
        @param timeout  time limit for connecting, and for waiting for the
                        reply */
    instance_client(ip_endpoint target, std::chrono::milliseconds timeout);

    /** Sends a GET request. */
    result<call_reply, call_error> get(const std::string& path) const;

    /** Sends a POST request with a JSON body. */
    result<call_reply, call_error>
    post(const std::string& path, const nlohmann::json& body) const;

    /** Returns the address and port as text. */
    std::string address() const;

private:
    ip_endpoint target_;
    std::chrono::milliseconds timeout_;
};

/** Parses the body of a reply as JSON. Returns a discarded value if it is
    not JSON. */
nlohmann::json parse_body(const call_reply& reply);

/** Returns one line about a reply with an error: "verdict/reason: detail (HTTP
    status)", or only the HTTP status if the body has no verdict. */
std::string describe_refusal(const call_reply& reply);

} // namespace turmericlane
