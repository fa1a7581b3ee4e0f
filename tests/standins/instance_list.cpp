#include "instance_list.h"

#include <boost/asio/ip/address_v4.hpp>

#include <nlohmann/json.hpp>

#include <cassert>

namespace turmericlane::standins
{

namespace asio = boost::asio;

instance_list::instance_list(
    asio::io_context& context,
    std::uint16_t port,
    std::chrono::milliseconds lag)
    : lag_(lag)
    , versions_{{clock::time_point{}, "[]"}}
    , server_(
          context,
          {asio::ip::address_v4::loopback(), port},
          {},
          [this](const auto& session) { handle(session); })
{
    assert(lag >= std::chrono::milliseconds::zero());
}

void instance_list::open()
{
    server_.open();
}

void instance_list::handle(const std::shared_ptr<http_session>& session)
{
    auto path = session->path();
    if (path == "/control/instances" && session->method() == "PUT")
        return set_list(session);
    if (path != "/v1/instances")
        return session->reply(404, R"({"error":"unknown path"})");
    auto visible_time = clock::now() - lag_;
    while (versions_.size() > 1 && versions_[1].set_time <= visible_time)
        versions_.pop_front();
    session->reply(200, versions_.front().text);
}

void instance_list::set_list(const std::shared_ptr<http_session>& session)
{
    auto list = nlohmann::json::parse(session->body(), nullptr, false);
    if (!list.is_array())
        return session->reply(
            400, R"({"error":"the body is not a JSON array"})");
    versions_.push_back({clock::now(), session->body()});
    session->reply(200, "{}");
}

} // namespace turmericlane::standins
