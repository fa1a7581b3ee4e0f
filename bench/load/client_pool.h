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

/** How an exchange with an instance ended. */
enum class exchange_state
{
    replied,
    /** No connection; no byte was sent. */
    not_connected,
    /** Bytes were sent, and no whole reply came. */
    lost
};

/** Result of an exchange with an instance. */
struct exchange
{
    exchange_state state = exchange_state::not_connected;
    int status = 0;
    std::string body;
};

/** Kept-alive HTTP connections to instances.

    A connection that has been idle for a second is not used again, so that an
    instance's own limit on idle connections doesn't end requests. Any thread
    may call.
*/
class client_pool
{
public:
    client_pool();
    ~client_pool();
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;

    /** Sends a GET and waits for the reply, at most the given time. */
    exchange
    get(const endpoint& to,
        const std::string& path,
        std::chrono::milliseconds time_limit);

    /** Sends a POST of JSON and waits for the reply, at most the given time.
        Nothing is ever sent twice. */
    exchange post(
        const endpoint& to,
        const std::string& path,
        const std::string& body,
        std::chrono::milliseconds time_limit);

private:
    struct connection;
    using connection_pointer = std::unique_ptr<connection>;

    connection_pointer take(const endpoint& to);
    void give_back(const endpoint& to, connection_pointer returned);
    template <class Call>
    exchange
    run(const endpoint& to, std::chrono::milliseconds time_limit, Call call);

    std::mutex mutex_;
    std::map<endpoint, std::vector<connection_pointer>> idle_;
};

} // namespace turmericlane::load
