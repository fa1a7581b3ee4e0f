#include "client_pool.h"

#include <httplib.h>

#include <cassert>

namespace turmericlane::load
{

namespace
{

constexpr std::chrono::seconds longest_idle{1};
constexpr std::chrono::milliseconds connect_timeout{300};

} // namespace

struct client_pool::connection
{
    explicit connection(const endpoint& to)
        : client(to.address, to.port)
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
    const endpoint& to,
    const std::string& path,
    std::chrono::milliseconds time_limit)
{
    return run(
        to, time_limit,
        [&](httplib::Client& client) { return client.Get(path); });
}

exchange client_pool::post(
    const endpoint& to,
    const std::string& path,
    const std::string& body,
    std::chrono::milliseconds time_limit)
{
    return run(
        to, time_limit,
        [&](httplib::Client& client)
        { return client.Post(path, body, "application/json"); });
}

template <class Call>
exchange client_pool::run(
    const endpoint& to, std::chrono::milliseconds time_limit, Call call)
{
    assert(time_limit > std::chrono::milliseconds::zero());
    auto used = take(to);
    used->client.set_read_timeout(time_limit);
    auto reply = call(used->client);
    if (reply)
    {
        give_back(to, std::move(used));
        return {exchange_state::replied, reply->status, std::move(reply->body)};
    }
    auto error = reply.error();
    auto connected = error != httplib::Error::Connection &&
                     error != httplib::Error::ConnectionTimeout;
    return {
        connected ? exchange_state::lost : exchange_state::not_connected, 0,
        ""};
}

client_pool::connection_pointer client_pool::take(const endpoint& to)
{
    std::lock_guard lock(mutex_);
    auto& idle = idle_[to];
    auto now = std::chrono::steady_clock::now();
    std::erase_if(
        idle,
        [&](const auto& it) { return now - it->last_used > longest_idle; });
    if (idle.empty())
        return std::make_unique<connection>(to);
    auto found = std::move(idle.back());
    idle.pop_back();
    return found;
}

void client_pool::give_back(const endpoint& to, connection_pointer returned)
{
    returned->last_used = std::chrono::steady_clock::now();
    std::lock_guard lock(mutex_);
    idle_[to].push_back(std::move(returned));
}

} // namespace turmericlane::load
