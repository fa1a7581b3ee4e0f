#include "backend_fleet.h"

#include <boost/asio/ip/address_v4.hpp>

#include <cassert>

namespace turmericlane::standins
{

namespace asio = boost::asio;
using json = nlohmann::json;

namespace
{

json error_body(const std::string& why)
{
    return {{"error", why}};
}

/** Removes a member from an object and returns it, or null. */
json take_member(json& from, const char* name)
{
    auto found = from.find(name);
    if (found == from.end())
        return nullptr;
    json value = *found;
    from.erase(found);
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
    auto in = json::parse(session->body(), nullptr, false);
    if (!in.is_object())
        return session->reply(400, error_body("not an object").dump());
    if (path == "/control/set")
        return handle_set(session, std::move(in));
    if (path == "/control/roll")
        return handle_roll(session, in);
    if (path == "/control/executed")
        return handle_executed(session, in);
    session->reply(404, error_body("unknown path").dump());
}

void backend_fleet::handle_set(const session_pointer& session, json changes)
{
    auto selected = select(changes);
    if (selected.empty())
        return session->reply(404, error_body("no such server").dump());
    auto mark = take_member(changes, "mark");
    for (auto* it : selected)
    {
        if (mark.is_boolean() && mark.get<bool>())
            it->mark_leaving();
        if (auto why = it->change(changes))
            return session->reply(400, error_body(*why).dump());
    }
    session->reply(200, json{{"changed", selected.size()}}.dump());
}

void backend_fleet::handle_roll(const session_pointer& session, const json& in)
{
    auto snapshot = in.value("snapshot", newest_ + 1);
    std::chrono::milliseconds spread(in.value("spread_ms", 1000));
    std::chrono::milliseconds overlap(in.value("overlap_ms", 3000));
    if (snapshot <= newest_)
        return session->reply(400, error_body("snapshot is not new").dump());
    newest_ = snapshot;
    for (const auto& it : servers_)
    {
        auto* server = it.get();
        auto part = records_.draw_uniform() * spread;
        run_after(
            std::chrono::duration_cast<std::chrono::milliseconds>(part),
            [server, snapshot] { server->add_snapshot(snapshot); });
        run_after(
            spread + overlap,
            [server, snapshot] { server->drop_snapshots_below(snapshot); });
    }
    session->reply(200, json{{"snapshot", snapshot}}.dump());
}

void backend_fleet::handle_executed(
    const session_pointer& session, const json& in)
{
    auto found = json::array();
    for (const auto& it : in.value("queries", json::array()))
        if (it.is_string() && records_.has_run(it.get<std::string>()))
            found.push_back(it);
    session->reply(200, json{{"executed", std::move(found)}}.dump());
}

json backend_fleet::counters() const
{
    backend_counters total;
    std::uint64_t over_limit = 0;
    auto each = json::array();
    for (const auto& it : servers_)
    {
        total.add(it->counters());
        each.push_back(it->report());
        over_limit += each.back()["over_limit"].get<std::uint64_t>();
    }
    auto made = total.to_json();
    made["connections_over_limit"] = over_limit;
    made["servers"] = std::move(each);
    return made;
}

std::vector<backend_server*> backend_fleet::select(json& changes) const
{
    auto id = take_member(changes, "searcher");
    auto service = take_member(changes, "service");
    auto partition = take_member(changes, "partition");
    auto all = take_member(changes, "all");
    std::vector<backend_server*> found;
    for (const auto& it : servers_)
    {
        const auto& identity = it->identity();
        auto in_service =
            service == identity.service &&
            (partition.is_null() || partition == identity.partition);
        if (id == identity.id || in_service || all == true)
            found.push_back(it.get());
    }
    return found;
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
