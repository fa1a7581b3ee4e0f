#include "fake_backend_client.h"

#include <algorithm>

namespace turmericlane::bench
{

fake_backend_client::fake_backend_client(
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

std::uint64_t fake_backend_client::start(
    const backend_request& request, completion_callback on_complete)
{
    auto id = ++last_id_;
    auto& attempt = attempts_[id];
    attempt.request = request;
    attempt.on_complete = std::move(on_complete);
    attempt.deadline = events_.now() + request.time_left;
    attempt.server = searchers_.at(request.server).get();
    acquire_connection(id, attempt);
    return id;
}

void fake_backend_client::cancel(std::uint64_t id)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    auto& attempt = found->second;
    if (attempt.stage != attempt_stage::sent)
    {
        finish_after(id, duration::zero(), backend_status::cancelled);
        return;
    }
    if (!is_reachable(*attempt.server))
        return;
    auto forward = [this, id]
    {
        auto it = attempts_.find(id);
        if (it != attempts_.end())
            it->second.server->cancel(it->second.token);
    };
    events_.schedule_after(hop_delay(*attempt.server), forward);
}

fake_backend_client::connection_pool&
fake_backend_client::current_pool(const fake_searcher& server)
{
    auto& pool = pools_[server.definition().id];
    if (pool.incarnation == server.incarnation())
        return pool;
    pool.incarnation = server.incarnation();
    pool.idle_count = 0;
    pool.open_count = 0;
    return pool;
}

bool fake_backend_client::can_open_connection(
    const fake_searcher& server, const connection_pool& pool) const
{
    return pool.open_count < server.connection_limit() / limit_divisor_;
}

void fake_backend_client::acquire_connection(
    std::uint64_t id, attempt_state& attempt)
{
    auto& pool = current_pool(*attempt.server);
    if (pool.idle_count > 0)
    {
        --pool.idle_count;
        attempt.incarnation = pool.incarnation;
        send(id, attempt);
        return;
    }
    if (can_open_connection(*attempt.server, pool))
    {
        connect(id, attempt);
        return;
    }
    pool.waiting_attempts.push_back(id);
}

void fake_backend_client::connect(std::uint64_t id, attempt_state& attempt)
{
    auto& pool = current_pool(*attempt.server);
    ++pool.open_count;
    attempt.stage = attempt_stage::connecting;
    auto* server = attempt.server;
    auto finish_connect = [this, id, server, incarnation = pool.incarnation]
    { on_connected(id, *server, incarnation); };
    if (is_reachable(*server))
        events_.schedule_after(server->connect_cost(), finish_connect);
    else
        events_.schedule_at(attempt.deadline, finish_connect);
}

void fake_backend_client::on_connected(
    std::uint64_t id, fake_searcher& server, std::uint64_t incarnation)
{
    auto& pool = current_pool(server);
    auto is_open = is_reachable(server) && server.open_connection();
    if (is_open && pool.incarnation != incarnation)
        ++pool.open_count;
    if (!is_open && pool.incarnation == incarnation)
        --pool.open_count;
    auto found = attempts_.find(id);
    if (found == attempts_.end())
    {
        if (is_open)
            release_connection(server, pool.incarnation, true);
        return;
    }
    if (!is_open)
    {
        finish_after(id, duration::zero(), backend_status::connect_failed);
        return;
    }
    found->second.incarnation = pool.incarnation;
    auto send_or_release = [this, id, &server, incarnation = pool.incarnation]
    {
        auto it = attempts_.find(id);
        if (it != attempts_.end())
            send(id, it->second);
        else
            release_connection(server, incarnation, true);
    };
    process_.deliver(send_or_release);
}

void fake_backend_client::send(std::uint64_t id, attempt_state& attempt)
{
    attempt.stage = attempt_stage::sent;
    if (attempt.deadline <= events_.now())
    {
        // Nothing has been sent, as the status connect_failed states.
        finish_after(id, duration::zero(), backend_status::connect_failed);
        return;
    }
    checker_.on_sub_request(attempt.request, events_.now());
    if (is_reachable(*attempt.server))
        events_.schedule_after(
            hop_delay(*attempt.server), [this, id] { on_arrival(id); });
    else
        finish_after(
            id, attempt.deadline - events_.now(), backend_status::timed_out);
}

void fake_backend_client::on_arrival(std::uint64_t id)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    auto& attempt = found->second;
    if (attempt.incarnation != attempt.server->incarnation())
    {
        finish_after(
            id, hop_delay(*attempt.server), backend_status::connection_lost);
        return;
    }
    auto request = attempt.request;
    request.time_left = attempt.deadline - events_.now();
    auto token = attempt.server->submit(
        request,
        [this, id](const backend_reply& reply) { on_reply(id, reply); });
    found = attempts_.find(id);
    if (found != attempts_.end())
        found->second.token = token;
}

void fake_backend_client::on_reply(std::uint64_t id, const backend_reply& reply)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    const auto& attempt = found->second;
    if (!is_reachable(*attempt.server))
    {
        auto time_left =
            std::max(duration::zero(), attempt.deadline - events_.now());
        finish_after(id, time_left, backend_status::timed_out);
        return;
    }
    auto deliver = [this, id, reply]
    { process_.deliver([this, id, reply] { finish(id, reply); }); };
    events_.schedule_after(hop_delay(*attempt.server), deliver);
}

void fake_backend_client::finish_after(
    std::uint64_t id, duration delay, backend_status status)
{
    backend_reply reply;
    reply.status = status;
    auto deliver = [this, id, reply]
    { process_.deliver([this, id, reply] { finish(id, reply); }); };
    events_.schedule_after(delay, deliver);
}

void fake_backend_client::finish(std::uint64_t id, const backend_reply& reply)
{
    auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    auto attempt = std::move(found->second);
    attempts_.erase(found);
    auto can_reuse = reply.status != backend_status::connection_lost &&
                     reply.status != backend_status::timed_out;
    if (attempt.stage == attempt_stage::sent)
        release_connection(*attempt.server, attempt.incarnation, can_reuse);
    attempt.on_complete(reply);
}

void fake_backend_client::release_connection(
    fake_searcher& server, std::uint64_t incarnation, bool can_reuse)
{
    auto& pool = current_pool(server);
    if (pool.incarnation == incarnation && can_reuse)
        ++pool.idle_count;
    if (pool.incarnation == incarnation && !can_reuse)
    {
        --pool.open_count;
        server.close_connection(incarnation);
    }
    start_waiting_attempts(server);
}

void fake_backend_client::start_waiting_attempts(fake_searcher& server)
{
    auto& pool = current_pool(server);
    while (!pool.waiting_attempts.empty() &&
           (pool.idle_count > 0 || can_open_connection(server, pool)))
    {
        auto id = pool.waiting_attempts.front();
        pool.waiting_attempts.pop_front();
        auto found = attempts_.find(id);
        if (found != attempts_.end())
            acquire_connection(id, found->second);
    }
}

bool fake_backend_client::is_reachable(const fake_searcher& server) const
{
    return network_.is_reachable(data_centre_, server.data_centre());
}

duration fake_backend_client::hop_delay(const fake_searcher& server) const
{
    return network_.delay(data_centre_, server.data_centre());
}

} // namespace turmericlane::bench
