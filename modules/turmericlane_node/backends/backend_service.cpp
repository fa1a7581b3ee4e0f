#include "backend_service.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Bound of a read of a load endpoint. */
constexpr std::chrono::milliseconds load_timeout{500};

} // namespace

backend_service::backend_service(const node_settings& settings)
    : settings_(settings)
{
}

backend_service::~backend_service() = default;

std::optional<std::string> backend_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    pool_ = std::make_unique<backend_pool>(engine_->time());
    owner.find_as<version_service>("versions")->subscribe(*this);
    engine_->add(*this);
    return std::nullopt;
}

void backend_service::stop()
{
    pool_->stop();
}

void backend_service::set_listener(backend_listener& listener)
{
    engine_->call([&] { listener_ = &listener; });
}

void backend_service::search(attempt_id id, const backend_request& request)
{
    const auto found = servers_.find(request.server);
    if (found == servers_.end())
    {
        exchange_result unknown;
        unknown.status = exchange_status::connect_failed;
        engine_->post([this, id, unknown] { finish(id, unknown); });
        return;
    }
    auto job = encode_search(request, id);
    job.deadline = engine_->time().now() + request.time_left;
    job.completion_handler = [this, id](const exchange_result& exchange)
    {
        // The reply is parsed on the connection's thread; the loop only sees
        // the result.
        auto reply = std::make_shared<backend_reply>(decode_search(exchange));
        engine_->post(
            [this, id, reply]
            {
                jobs_.erase(id);
                listener_->on_backend_reply(id, std::move(*reply));
            });
    };
    const auto& to = found->second;
    jobs_[id] = pool_->submit(to.address, to.port, std::move(job));
}

void backend_service::finish(attempt_id id, const exchange_result& exchange)
{
    jobs_.erase(id);
    listener_->on_backend_reply(id, decode_search(exchange));
}

void backend_service::cancel(attempt_id id)
{
    const auto found = jobs_.find(id);
    if (found != jobs_.end())
        pool_->cancel(found->second);
}

bool backend_service::submit(searcher_id server, backend_job job)
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
        return false;
    pool_->submit(found->second.address, found->second.port, std::move(job));
    return true;
}

void backend_service::on_bundle(const std::shared_ptr<const bundle>& in_force)
{
    auto earlier = std::exchange(servers_, {});
    add_servers(*in_force, owner_map(*in_force));
    for (auto& [id, it] : earlier)
    {
        const auto found = servers_.find(id);
        if (found == servers_.end())
            pool_->remove_server(it.address, it.port);
        else
            found->second.load_read_pending = it.load_read_pending;
    }
    if (next_load_read_ == time_point::max())
        next_load_read_ = engine_->time().now();
}

void backend_service::add_servers(
    const bundle& in_force, const owner_map& owners)
{
    for (const auto& service : in_force.services)
    {
        const auto share = in_force.connection_share(service);
        for (const auto& group : service.groups)
        {
            const auto candidates =
                owners.candidates({service.id, group.partition});
            const auto mine = std::find(
                candidates.begin(), candidates.end(), settings_.index);
            if (mine == candidates.end())
                continue;
            for (const auto& it : group.searchers)
            {
                server added;
                added.address = it.address;
                added.port = it.port;
                added.watched = mine == candidates.begin();
                pool_->set_connection_limit(it.address, it.port, share);
                servers_.emplace(it.id, std::move(added));
            }
        }
    }
}

time_point backend_service::on_turn()
{
    if (engine_->time().now() >= next_load_read_)
        read_loads();
    return next_load_read_;
}

void backend_service::read_loads()
{
    next_load_read_ = engine_->time().now() + settings_.load_period;
    for (auto& [id, it] : servers_)
        if (it.watched && !it.load_read_pending)
            read_load(id, it);
}

void backend_service::read_load(searcher_id id, server& of)
{
    of.load_read_pending = true;
    backend_job job;
    job.is_post = false;
    job.path = "/load";
    job.deadline = engine_->time().now() + load_timeout;
    job.completion_handler = [this, id](const exchange_result& exchange)
    {
        auto report = exchange.http_status == 200
                          ? decode_load(id, exchange.body)
                          : std::nullopt;
        engine_->post(
            [this, id, report]
            {
                const auto found = servers_.find(id);
                if (found != servers_.end())
                    found->second.load_read_pending = false;
                if (report && listener_ != nullptr)
                    listener_->on_load_report(*report);
            });
    };
    pool_->submit(of.address, of.port, std::move(job));
}

} // namespace turmericlane
