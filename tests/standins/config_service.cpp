#include "config_service.h"

#include <boost/asio/ip/address_v4.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace turmericlane::standins
{

namespace asio = boost::asio;
using json = nlohmann::json;

config_service::config_service(
    asio::io_context& context,
    std::uint16_t port,
    std::uint64_t reads_per_second)
    : context_(context)
    , reads_per_second_(reads_per_second)
    , server_(
          context,
          {asio::ip::address_v4::loopback(), port},
          {},
          [this](const auto& session) { handle(session); })
{
    assert(reads_per_second > 0);
}

void config_service::open()
{
    server_.open();
}

void config_service::handle(const session_pointer& session)
{
    auto path = session->path();
    if (path == "/v1/bundle" && session->method() == "GET")
        return handle_read(session);
    if (path == "/control/bundle" && session->method() == "PUT")
        return handle_publish(session);
    if (path == "/control/mode" && session->method() == "PUT")
        return handle_mode(session);
    if (path == "/control/reads")
        return reply_reads(session);
    session->reply(404, R"({"error":"unknown path"})");
}

void config_service::handle_read(const session_pointer& session)
{
    if (!count_read())
        return session->reply(503, R"({"error":"read budget exceeded"})");
    auto after = session->parameter("after", 0);
    if (try_answer(session, after))
        return;
    constexpr std::uint64_t longest_wait_ms = 60'000;
    auto wait = std::min(session->parameter("wait_ms", 0), longest_wait_ms);
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(wait));
    waiters_.push_back({session, after, timer});
    timer->async_wait(
        [this, timer](boost::system::error_code ec)
        {
            if (!ec)
                end_wait(timer);
        });
}

void config_service::handle_publish(const session_pointer& session)
{
    auto envelope = json::parse(session->body(), nullptr, false);
    constexpr auto path = "/bundle/version";
    json::json_pointer version(path);
    if (!envelope.is_object() || !envelope.contains(version) ||
        !envelope[version].is_number_unsigned())
        return session->reply(400, R"({"error":"no /bundle/version"})");
    envelopes_[envelope[version].get<std::uint64_t>()] = session->body();
    answer_waiters();
    session->reply(200, "{}");
}

void config_service::handle_mode(const session_pointer& session)
{
    auto in = json::parse(session->body(), nullptr, false);
    auto name = in.is_object() ? in.value("mode", "") : "";
    if (name == "up")
        mode_ = mode::up;
    else if (name == "down")
        mode_ = mode::down;
    else if (name == "silent")
        mode_ = mode::silent;
    else if (name == "stale")
        mode_ = mode::stale;
    else
        return session->reply(400, R"({"error":"unknown mode"})");
    stale_version_ = in.value("version", std::uint64_t{0});
    stale_push_ = in.value("push", false);
    answer_waiters();
    session->reply(200, "{}");
}

bool config_service::count_read()
{
    auto now = clock::now();
    if (now - second_began_ >= std::chrono::seconds(1))
    {
        second_began_ = now;
        reads_this_second_ = 0;
    }
    ++reads_;
    ++reads_this_second_;
    peak_per_second_ = std::max(peak_per_second_, reads_this_second_);
    if (reads_this_second_ <= reads_per_second_)
        return true;
    ++over_budget_;
    return false;
}

bool config_service::try_answer(
    const session_pointer& session, std::uint64_t after)
{
    if (mode_ == mode::silent)
        return true;
    if (mode_ == mode::down)
    {
        session->reply(503, R"({"error":"down"})");
        return true;
    }
    auto end = mode_ == mode::stale ? envelopes_.upper_bound(stale_version_)
                                    : envelopes_.end();
    if (end == envelopes_.begin())
        return false;
    const auto& [version, text] = *std::prev(end);
    auto push = mode_ == mode::stale && stale_push_;
    if (version <= after && !push)
        return false;
    session->reply(200, text);
    return true;
}

void config_service::answer_waiters()
{
    std::erase_if(
        waiters_,
        [this](const waiter& it)
        {
            auto answered =
                it.session->closed() || try_answer(it.session, it.after);
            if (answered)
                it.timer->cancel();
            return answered;
        });
}

void config_service::end_wait(const std::shared_ptr<asio::steady_timer>& timer)
{
    auto found = std::find_if(
        waiters_.begin(), waiters_.end(),
        [&](const waiter& it) { return it.timer == timer; });
    if (found == waiters_.end())
        return;
    auto session = found->session;
    waiters_.erase(found);
    session->reply(204, "");
}

void config_service::reply_reads(const session_pointer& session) const
{
    json made = {
        {"reads", reads_},
        {"over_budget", over_budget_},
        {"peak_per_second", peak_per_second_},
        {"waiting", waiters_.size()},
        {"connections", server_.counts().open}};
    session->reply(200, made.dump());
}

} // namespace turmericlane::standins
