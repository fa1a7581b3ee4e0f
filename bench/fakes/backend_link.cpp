#include "backend_link.h"

#include <algorithm>

namespace turmericlane::bench
{

backend_link::backend_link(
    event_queue& events,
    fake_network& network,
    fake_process& process,
    answer_checker& checker,
    searcher_table& searchers,
    std::uint32_t data_centre,
    std::uint32_t limit_divisor)
    : events_(events)
    , network_(network)
    , process_(process)
    , checker_(checker)
    , searchers_(searchers)
    , data_centre_(data_centre)
    , limit_divisor_(limit_divisor)
{
}

std::uint64_t
backend_link::start(const backend_request& request, end_action end)
{
    auto id = ++ids_;
    auto& made = attempts_[id];
    made.request = request;
    made.end = std::move(end);
    made.deadline = events_.now() + request.time_left;
    made.server = searchers_.at(request.server).get();
    acquire(id, made);
    return id;
}

void backend_link::cancel(std::uint64_t id)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    auto& one = found->second;
    if (one.reached != stage::sent)
    {
        end_later(id, duration::zero(), backend_status::cancelled);
        return;
    }
    if (!reachable(*one.server))
        return;
    auto arrive = [this, id]
    {
        auto it = attempts_.find(id);
        if (it != attempts_.end())
            it->second.server->cancel(it->second.token);
    };
    events_.after(hop(*one.server), arrive);
}

backend_link::pool& backend_link::pool_of(const fake_searcher& server)
{
    auto& of = pools_[server.self().id];
    if (of.incarnation == server.incarnation())
        return of;
    of.incarnation = server.incarnation();
    of.idle = 0;
    of.open = 0;
    return of;
}

bool backend_link::may_open(const fake_searcher& server, const pool& of) const
{
    return of.open < server.connection_limit() / limit_divisor_;
}

void backend_link::acquire(std::uint64_t id, attempt& one)
{
    auto& of = pool_of(*one.server);
    if (of.idle > 0)
    {
        --of.idle;
        one.incarnation = of.incarnation;
        send(id, one);
        return;
    }
    if (may_open(*one.server, of))
    {
        connect(id, one);
        return;
    }
    of.waiting.push_back(id);
}

void backend_link::connect(std::uint64_t id, attempt& one)
{
    auto& of = pool_of(*one.server);
    ++of.open;
    one.reached = stage::connecting;
    auto* server = one.server;
    auto done = [this, id, server, incarnation = of.incarnation]
    { on_connected(id, *server, incarnation); };
    if (reachable(*server))
        events_.after(server->connect_cost(), done);
    else
        events_.at(one.deadline, done);
}

void backend_link::on_connected(
    std::uint64_t id, fake_searcher& server, std::uint64_t incarnation)
{
    auto& of = pool_of(server);
    auto opened = reachable(server) && server.open_connection();
    if (opened && of.incarnation != incarnation)
        ++of.open;
    if (!opened && of.incarnation == incarnation)
        --of.open;
    auto found = attempts_.find(id);
    if (found == attempts_.end())
    {
        if (opened)
            release(server, of.incarnation, true);
        return;
    }
    if (!opened)
    {
        end_later(id, duration::zero(), backend_status::connect_failed);
        return;
    }
    found->second.incarnation = of.incarnation;
    auto go_on = [this, id, &server, incarnation = of.incarnation]
    {
        auto it = attempts_.find(id);
        if (it != attempts_.end())
            send(id, it->second);
        else
            release(server, incarnation, true);
    };
    process_.deliver(go_on);
}

void backend_link::send(std::uint64_t id, attempt& one)
{
    one.reached = stage::sent;
    if (one.deadline <= events_.now())
    {
        // Nothing was sent, which connect_failed states.
        end_later(id, duration::zero(), backend_status::connect_failed);
        return;
    }
    checker_.on_sub_request(one.request, events_.now());
    if (reachable(*one.server))
        events_.after(hop(*one.server), [this, id] { arrive(id); });
    else
        end_later(id, one.deadline - events_.now(), backend_status::timed_out);
}

void backend_link::arrive(std::uint64_t id)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    auto& one = found->second;
    if (one.incarnation != one.server->incarnation())
    {
        end_later(id, hop(*one.server), backend_status::connection_lost);
        return;
    }
    auto request = one.request;
    request.time_left = one.deadline - events_.now();
    auto token = one.server->submit(
        request,
        [this, id](const backend_reply& reply) { on_reply(id, reply); });
    found = attempts_.find(id);
    if (found != attempts_.end())
        found->second.token = token;
}

void backend_link::on_reply(std::uint64_t id, const backend_reply& reply)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    const auto& one = found->second;
    if (!reachable(*one.server))
    {
        auto left = std::max(duration::zero(), one.deadline - events_.now());
        end_later(id, left, backend_status::timed_out);
        return;
    }
    auto deliver = [this, id, reply]
    { process_.deliver([this, id, reply] { finish(id, reply); }); };
    events_.after(hop(*one.server), deliver);
}

void backend_link::end_later(
    std::uint64_t id, duration delay, backend_status status)
{
    backend_reply reply;
    reply.status = status;
    auto deliver = [this, id, reply]
    { process_.deliver([this, id, reply] { finish(id, reply); }); };
    events_.after(delay, deliver);
}

void backend_link::finish(std::uint64_t id, const backend_reply& reply)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    auto one = std::move(found->second);
    attempts_.erase(found);
    auto keep = reply.status != backend_status::connection_lost &&
                reply.status != backend_status::timed_out;
    if (one.reached == stage::sent)
        release(*one.server, one.incarnation, keep);
    one.end(reply);
}

void backend_link::release(
    fake_searcher& server, std::uint64_t incarnation, bool keep)
{
    auto& of = pool_of(server);
    if (of.incarnation == incarnation && keep)
        ++of.idle;
    if (of.incarnation == incarnation && !keep)
    {
        --of.open;
        server.close_connection(incarnation);
    }
    serve_waiting(server);
}

void backend_link::serve_waiting(fake_searcher& server)
{
    auto& of = pool_of(server);
    while (!of.waiting.empty() && (of.idle > 0 || may_open(server, of)))
    {
        auto id = of.waiting.front();
        of.waiting.pop_front();
        auto found = attempts_.find(id);
        if (found != attempts_.end())
            acquire(id, found->second);
    }
}

bool backend_link::reachable(const fake_searcher& server) const
{
    return network_.reachable(data_centre_, server.data_centre());
}

duration backend_link::hop(const fake_searcher& server) const
{
    return network_.delay(data_centre_, server.data_centre());
}

} // namespace turmericlane::bench
