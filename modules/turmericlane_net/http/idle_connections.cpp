#include "idle_connections.h"

#include <sys/socket.h>

#include <algorithm>

namespace turmericlane
{

void idle_connections::close_one()
{
    std::lock_guard lock(mutex_);
    // A connection that has been told to close has left the front of the list
    // but is still listed, with no socket.
    const auto is_open = [](const entry& it) { return it.socket >= 0; };
    auto chosen = std::find_if(
        entries_.begin(), entries_.end(),
        [&](const entry& it)
        { return is_open(it) && !it.has_carried_request; });
    if (chosen == entries_.end())
        chosen = std::find_if(entries_.begin(), entries_.end(), is_open);
    if (chosen == entries_.end())
        return;
    ::shutdown(chosen->socket, SHUT_RD);
    chosen->socket = -1;
}

idle_connection::idle_connection(
    idle_connections& connections, int socket, bool has_carried_request)
    : connections_(connections)
{
    std::lock_guard lock(connections_.mutex_);
    position_ = connections_.entries_.insert(
        connections_.entries_.end(), {socket, has_carried_request});
}

idle_connection::~idle_connection()
{
    std::lock_guard lock(connections_.mutex_);
    connections_.entries_.erase(position_);
}

} // namespace turmericlane
