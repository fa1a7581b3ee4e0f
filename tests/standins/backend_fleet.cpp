#include "backend_fleet.h"

#include <boost/asio/ip/address_v4.hpp>

#include <cassert>

namespace turmericlane::standins
{

namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

json error_body(const std::string& error)
{
    return {{"error", error}};
}

/** Removes a member from an object and returns it, or null. */
json take_member(json& object, const char* name)
{
    auto member = object.find(name);
    if (member == object.end())
        return nullptr;
    json value = *member;
    object.erase(member);
    return value;
}

} // namespace

backend_fleet::backend_fleet(
    asio::io_context& context,
    std::uint16_t control_port,
    backend_records& records)
    : context_(context)
    , records_(records)
    , control_(
          context,
          {asio::ip::address_v4::loopback(), control_port},
          {},
          [this](const auto& session) { handle(session); })
{
}

void backend_fleet::add(backend_identity identity, bool zero_work)
{
    servers_.push_back(std::make_unique<backend_server>(
        context_, std::move(identity), records_, zero_work));
}

void backend_fleet::open()
{
    for (const auto& it : servers_)
        it->open();
    control_.open();
}

void backend_fleet::handle(const session_pointer& session)
{
    auto path = session->path();
    if (path == "/control/journal")
        return session->reply(200, records_.journal().dump());
    if (path == "/control/counters")
        return session->reply(200, counters().dump());
    if (session->method() != "POST")
        return session->reply(404, error_body("unknown path").dump());
    auto body = json::parse(session->body(), nullptr, false);
    if (!body.is_object())
        return session->reply(
            400, error_body("the body is not a JSON object").dump());
    if (path == "/control/set")
        return handle_set(session, std::move(body));
    if (path == "/control/roll")
        return handle_roll(session, body);
    if (path == "/control/executed")
        return handle_executed(session, body);
    session->reply(404, error_body("unknown path").dump());
}

void backend_fleet::handle_set(const session_pointer& session, json changes)
{
    auto servers = take_selection(changes);
    if (servers.empty())
        return session->reply(404, error_body("no server is selected").dump());
    auto mark = take_member(changes, "mark");
    for (auto* it : servers)
    {
        if (mark.is_boolean() && mark.get<bool>())
            it->mark_leaving();
        if (auto error = it->change(changes))
            return session->reply(400, error_body(*error).dump());
    }
    session->reply(200, json{{"changed", servers.size()}}.dump());
}

void backend_fleet::handle_roll(
    const session_pointer& session, const json& body)
{
    auto snapshot = body.value("snapshot", newest_snapshot_ + 1);
    std::chrono::milliseconds spread(body.value("spread_ms", 1000));
    std::chrono::milliseconds overlap(body.value("overlap_ms", 3000));
    if (snapshot <= newest_snapshot_)
        return session->reply(
            400,
            error_body("the snapshot is not newer than the newest").dump());
    newest_snapshot_ = snapshot;
    for (const auto& it : servers_)
    {
        auto* server = it.get();
        auto delay = records_.draw_uniform() * spread;
        run_after(
            std::chrono::duration_cast<std::chrono::milliseconds>(delay),
            [server, snapshot] { server->add_snapshot(snapshot); });
        run_after(
            spread + overlap,
            [server, snapshot] { server->drop_snapshots_below(snapshot); });
    }
    session->reply(200, json{{"snapshot", snapshot}}.dump());
}

void backend_fleet::handle_executed(
    const session_pointer& session, const json& body)
{
    auto executed = json::array();
    for (const auto& it : body.value("queries", json::array()))
        if (it.is_string() && records_.has_run(it.get<std::string>()))
            executed.push_back(it);
    session->reply(200, json{{"executed", std::move(executed)}}.dump());
}

json backend_fleet::counters() const
{
    backend_counters total;
    std::uint64_t over_limit = 0;
    auto reports = json::array();
    for (const auto& it : servers_)
    {
        total.add(it->counters());
        reports.push_back(it->report());
        over_limit += reports.back()["over_limit"].get<std::uint64_t>();
    }
    auto fields = total.to_json();
    fields["connections_over_limit"] = over_limit;
    fields["servers"] = std::move(reports);
    return fields;
}

std::vector<backend_server*> backend_fleet::take_selection(json& changes) const
{
    auto id = take_member(changes, "searcher");
    auto service = take_member(changes, "service");
    auto partition = take_member(changes, "partition");
    auto all_flag = take_member(changes, "all");
    std::vector<backend_server*> servers;
    for (const auto& it : servers_)
    {
        const auto& identity = it->identity();
        auto is_in_service =
            service == identity.service &&
            (partition.is_null() || partition == identity.partition);
        if (id == identity.id || is_in_service || all_flag == true)
            servers.push_back(it.get());
    }
    return servers;
}

void backend_fleet::run_after(
    std::chrono::milliseconds delay, std::function<void()> task)
{
    assert(task);
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait(
        [timer, task = std::move(task)](boost::system::error_code ec)
        {
            if (!ec)
                task();
        });
}

} // namespace turmericlane::standins
