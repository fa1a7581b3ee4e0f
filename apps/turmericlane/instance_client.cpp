#include "instance_client.h"

#include "table.h"

#include <turmericlane_net/http/http_client.h>

#include <memory>

namespace turmericlane
{

namespace
{

std::unique_ptr<http_client>
make_client(const ip_endpoint& target, std::chrono::milliseconds timeout)
{
    auto client = std::make_unique<http_client>(target.address, target.port);
    client->set_tcp_nodelay(true);
    client->set_follow_location(false);
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    return client;
}

result<call_reply, call_error>
convert_response(const httplib::Result& response, const std::string& address)
{
    if (response)
        return call_reply{response->status, response->body};
    auto error = response.error();
    auto not_sent = error == httplib::Error::Connection ||
                    error == httplib::Error::ConnectionTimeout;
    auto detail = address + ": no reply: " + httplib::to_string(error);
    return result<call_reply, call_error>::failure(
        {not_sent, std::move(detail)});
}

} // namespace

instance_client::instance_client(
    ip_endpoint target, std::chrono::milliseconds timeout)
    : target_(std::move(target))
    , timeout_(timeout)
{
}

result<call_reply, call_error>
instance_client::get(const std::string& path) const
{
    auto client = make_client(target_, timeout_);
    return convert_response(client->Get(path), address());
}

result<call_reply, call_error>
instance_client::post(const std::string& path, const nlohmann::json& body) const
{
    auto client = make_client(target_, timeout_);
    return convert_response(
        client->Post(path, body.dump(), "application/json"), address());
}

std::string instance_client::address() const
{
    return target_.to_string();
}

nlohmann::json parse_body(const call_reply& reply)
{
    return nlohmann::json::parse(reply.body, nullptr, false);
}

std::string describe_refusal(const call_reply& reply)
{
    auto body = parse_body(reply);
    auto status = "HTTP " + std::to_string(reply.status);
    if (!body.is_object() || !body.contains("verdict"))
        return status;
    auto description = cell_text(body["verdict"]);
    description += '/' + cell_text(body.value("reason", nlohmann::json()));
    auto detail = cell_text(body.value("detail", nlohmann::json("")));
    if (!detail.empty())
        description += ": " + detail;
    return description + " (" + status + ")";
}

} // namespace turmericlane
