#include "client_pool.h"

#include <httplib.h>

#include <cassert>

namespace turmericlane::load
{

namespace
{

constexpr std::chrono::seconds max_idle_time{1};
constexpr std::chrono::milliseconds connect_timeout{300};

} // namespace

struct client_pool::connection
{
    explicit connection(const endpoint& target)
        : client(target.address, target.port)
    {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(connect_timeout);
    }

    httplib::Client client;
    std::chrono::steady_clock::time_point last_used;
};

client_pool::client_pool() = default;
client_pool::~client_pool() = default;

exchange client_pool::get(
    const endpoint& target,
    const std::string& path,
    std::chrono::milliseconds timeout)
{
    return run_exchange(
        target, timeout,
        [&](httplib::Client& client) { return client.Get(path); });
}

exchange client_pool::post(
    const endpoint& target,
    const std::string& path,
    const std::string& body,
    std::chrono::milliseconds timeout)
{
    return run_exchange(
        target, timeout,
        [&](httplib::Client& client)
        { return client.Post(path, body, "application/json"); });
}

template <class Request>
exchange client_pool::run_exchange(
    const endpoint& target,
    std::chrono::milliseconds timeout,
    Request send_request)
{
    assert(timeout > std::chrono::milliseconds::zero());
    auto open_connection = take_connection(target);
    open_connection->client.set_read_timeout(timeout);
    auto reply = send_request(open_connection->client);
    if (reply)
    {
        return_connection(target, std::move(open_connection));
        return {exchange_state::replied, reply->status, std::move(reply->body)};
    }
    auto error = reply.error();
    auto is_connected = error != httplib::Error::Connection &&
                        error != httplib::Error::ConnectionTimeout;
    return {
        is_connected ? exchange_state::lost : exchange_state::not_connected, 0,
        ""};
}

client_pool::connection_pointer
client_pool::take_connection(const endpoint& target)
{
    std::lock_guard lock(mutex_);
    auto& target_connections = idle_connections_[target];
    auto now = std::chrono::steady_clock::now();
    std::erase_if(
        target_connections,
        [&](const auto& it) { return now - it->last_used > max_idle_time; });
    if (target_connections.empty())
        return std::make_unique<connection>(target);
    auto result = std::move(target_connections.back());
    target_connections.pop_back();
    return result;
}

void client_pool::return_connection(
    const endpoint& target, connection_pointer idle_connection)
{
    idle_connection->last_used = std::chrono::steady_clock::now();
    std::lock_guard lock(mutex_);
    idle_connections_[target].push_back(std::move(idle_connection));
}

} // namespace turmericlane::load
