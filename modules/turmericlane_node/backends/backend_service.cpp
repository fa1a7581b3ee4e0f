#include "backend_service.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** Timeout of a read of a load endpoint. */
constexpr std::chrono::milliseconds load_timeout{500};

} // namespace

backend_service::backend_service(const instance_settings& settings)
    : settings_(settings)
{
}

backend_service::~backend_service() = default;

std::optional<std::string> backend_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    pool_ = std::make_unique<backend_pool>(engine_->time_source());
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
    engine_->run_and_wait([&] { listener_ = &listener; });
}

void backend_service::start_attempt(
    attempt_id id, const backend_request& request)
{
    const auto position = servers_.find(request.server);
    if (position == servers_.end())
    {
        exchange_result failure;
        failure.status = exchange_status::connect_failed;
        engine_->post([this, id, failure] { finish(id, failure); });
        return;
    }
    auto job = encode_search(request, id);
    job.deadline = engine_->time_source().now() + request.time_left;
    job.completion_handler = [this, id](const exchange_result& exchange)
    {
        // The reply is parsed on the connection's thread, so that the loop only
        // handles the result.
        auto reply = std::make_shared<backend_reply>(decode_search(exchange));
        engine_->post(
            [this, id, reply]
            {
                jobs_.erase(id);
                listener_->on_backend_reply(id, std::move(*reply));
            });
    };
    const auto& target = position->second;
    jobs_[id] = pool_->submit(target.address, target.port, std::move(job));
}

void backend_service::finish(attempt_id id, const exchange_result& exchange)
{
    jobs_.erase(id);
    listener_->on_backend_reply(id, decode_search(exchange));
}

void backend_service::cancel_attempt(attempt_id id)
{
    const auto position = jobs_.find(id);
    if (position != jobs_.end())
        pool_->cancel(position->second);
}

bool backend_service::submit(searcher_id server, backend_job job)
{
    const auto position = servers_.find(server);
    if (position == servers_.end())
        return false;
    pool_->submit(
        position->second.address, position->second.port, std::move(job));
    return true;
}

void backend_service::on_bundle(
    const std::shared_ptr<const bundle>& bundle_in_force)
{
    auto previous_servers = std::exchange(servers_, {});
    add_servers(*bundle_in_force, owner_map(*bundle_in_force));
    for (auto& [id, it] : previous_servers)
    {
        const auto position = servers_.find(id);
        if (position == servers_.end())
            pool_->remove_server(it.address, it.port);
        else
            position->second.is_load_read_pending = it.is_load_read_pending;
    }
    if (next_load_read_ == time_point::max())
        next_load_read_ = engine_->time_source().now();
}

void backend_service::add_servers(
    const bundle& bundle_in_force, const owner_map& owners)
{
    for (const auto& service : bundle_in_force.services)
    {
        const auto connection_limit = bundle_in_force.connection_share(service);
        for (const auto& group : service.groups)
        {
            const auto candidates =
                owners.candidates({service.id, group.partition});
            const auto own_position = std::find(
                candidates.begin(), candidates.end(), settings_.index);
            if (own_position == candidates.end())
                continue;
            for (const auto& it : group.searchers)
            {
                server new_server;
                new_server.address = it.address;
                new_server.port = it.port;
                new_server.is_load_polled = own_position == candidates.begin();
                pool_->set_connection_limit(
                    it.address, it.port, connection_limit);
                servers_.emplace(it.id, std::move(new_server));
            }
        }
    }
}

time_point backend_service::on_iteration()
{
    if (engine_->time_source().now() >= next_load_read_)
        read_loads();
    return next_load_read_;
}

void backend_service::read_loads()
{
    next_load_read_ = engine_->time_source().now() + settings_.load_period;
    for (auto& [id, it] : servers_)
        if (it.is_load_polled && !it.is_load_read_pending)
            read_load(id, it);
}

void backend_service::read_load(searcher_id id, server& target)
{
    target.is_load_read_pending = true;
    backend_job job;
    job.is_post = false;
    job.path = "/load";
    job.deadline = engine_->time_source().now() + load_timeout;
    job.completion_handler = [this, id](const exchange_result& exchange)
    {
        auto report = exchange.http_status == 200
                          ? decode_load(id, exchange.body)
                          : std::nullopt;
        engine_->post(
            [this, id, report]
            {
                const auto position = servers_.find(id);
                if (position != servers_.end())
                    position->second.is_load_read_pending = false;
                if (report && listener_ != nullptr)
                    listener_->on_load_report(*report);
            });
    };
    pool_->submit(target.address, target.port, std::move(job));
}

} // namespace turmericlane
