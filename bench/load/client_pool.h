#pragma once

#include "endpoint.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace turmericlane::load
{

/** Outcome of an HTTP exchange. */
enum class exchange_state
{
    replied,
    /** No connection could be opened, so nothing was sent. */
    not_connected,
    /** The request may have been sent, but no complete reply came. */
    lost
};

/** Result of an HTTP exchange. */
struct exchange
{
    exchange_state state = exchange_state::not_connected;
    int status = 0;
    std::string body;
};

/** Sends HTTP requests through a pool of open connections.

    A connection that has been idle for more than a second is not used again, so
    that requests don't fail because an instance closes idle connections.
    Thread-safe.
*/
class client_pool
{
public:
    client_pool();
    ~client_pool();
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;

    /** Sends a GET request and waits for the reply until the timeout. */
    exchange
    get(const endpoint& target,
        const std::string& path,
        std::chrono::milliseconds timeout);

    /** Sends a POST request with a JSON body and waits for the reply until the
        timeout. Never sends a request twice. */
    exchange post(
        const endpoint& target,
        const std::string& path,
        const std::string& body,
        std::chrono::milliseconds timeout);

private:
    struct connection;
    using connection_pointer = std::unique_ptr<connection>;

    connection_pointer take_connection(const endpoint& target);
    void return_connection(
        const endpoint& target, connection_pointer idle_connection);
    template <class Request>
    exchange run_exchange(
        const endpoint& target,
        std::chrono::milliseconds timeout,
        Request send_request);

    std::mutex mutex_;
    std::map<endpoint, std::vector<connection_pointer>> idle_connections_;
};

} // namespace turmericlane::load
