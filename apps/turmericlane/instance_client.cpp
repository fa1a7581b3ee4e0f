#include "instance_client.h"

#include "table.h"

#include <httplib.h>

namespace turmericlane
{

namespace
{

httplib::Client
connect(const ip_endpoint& to, std::chrono::milliseconds timeout)
{
    httplib::Client made(to.address, to.port);
    made.set_tcp_nodelay(true);
    made.set_follow_location(false);
    made.set_connection_timeout(timeout);
    made.set_read_timeout(timeout);
    made.set_write_timeout(timeout);
    return made;
}

result<call_reply, call_error>
convert(const httplib::Result& got, const std::string& name)
{
    if (got)
        return call_reply{got->status, got->body};
    auto error = got.error();
    auto not_sent = error == httplib::Error::Connection ||
                    error == httplib::Error::ConnectionTimeout;
    auto detail = name + ": no reply: " + httplib::to_string(error);
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
    auto client = connect(target_, timeout_);
    return convert(client.Get(path), name());
}

result<call_reply, call_error>
instance_client::post(const std::string& path, const nlohmann::json& body) const
{
    auto client = connect(target_, timeout_);
    return convert(client.Post(path, body.dump(), "application/json"), name());
}

std::string instance_client::name() const
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
    auto line = cell_text(body["verdict"]);
    line += '/' + cell_text(body.value("reason", nlohmann::json()));
    auto detail = cell_text(body.value("detail", nlohmann::json("")));
    if (!detail.empty())
        line += ": " + detail;
    return line + " (" + status + ")";
}

} // namespace turmericlane
