#include "session_table.h"

#include <algorithm>

namespace turmericlane
{

bool session_table::add(
    const session_pointer& session, std::size_t session_limit)
{
    std::unique_lock lock(mutex_);
    if (sessions_by_id_.size() >= session_limit)
        return false;
    sessions_by_id_.emplace(session->identity().session_id, session);
    return true;
}

void session_table::mark_open(const session_pointer& session)
{
    const auto& peer = session->identity();
    std::unique_lock lock(mutex_);
    ++open_count_;
    auto& sessions = open_by_ordinal_[peer.instance];
    // A new nonce means that the peer was restarted. The new session is tried
    // first, since the old process may be paused.
    bool is_restarted =
        !sessions.empty() && sessions.front()->identity().nonce != peer.nonce;
    sessions.insert(is_restarted ? sessions.begin() : sessions.end(), session);
    if (peer.is_outgoing)
        open_by_address_[peer.remote_address] = session;
}

void session_table::remove(const session_pointer& session)
{
    const auto& peer = session->identity();
    std::unique_lock lock(mutex_);
    sessions_by_id_.erase(peer.session_id);
    auto ordinal_it = open_by_ordinal_.find(peer.instance);
    if (ordinal_it == open_by_ordinal_.end())
        return;
    if (std::erase(ordinal_it->second, session) == 0)
        return;
    --open_count_;
    if (ordinal_it->second.empty())
        open_by_ordinal_.erase(ordinal_it);
    auto address_it = open_by_address_.find(peer.remote_address);
    if (address_it != open_by_address_.end() && address_it->second == session)
        open_by_address_.erase(address_it);
}

bool session_table::send(
    ordinal recipient, const encoded_message& message) const
{
    std::shared_lock lock(mutex_);
    auto ordinal_it = open_by_ordinal_.find(recipient);
    if (ordinal_it == open_by_ordinal_.end())
        return false;
    return std::any_of(
        ordinal_it->second.begin(), ordinal_it->second.end(),
        [&](const auto& it)
        { return it->send(message.type, message.payload); });
}

bool session_table::send(
    const peer_address& recipient, const encoded_message& message) const
{
    std::shared_lock lock(mutex_);
    auto it = open_by_address_.find(recipient);
    return it != open_by_address_.end() &&
           it->second->send(message.type, message.payload);
}

bool session_table::send(
    std::uint64_t session_id, const encoded_message& message) const
{
    std::shared_lock lock(mutex_);
    auto it = sessions_by_id_.find(session_id);
    return it != sessions_by_id_.end() &&
           it->second->send(message.type, message.payload);
}

session_table::session_pointer
session_table::find(std::uint64_t session_id) const
{
    std::shared_lock lock(mutex_);
    auto it = sessions_by_id_.find(session_id);
    return it == sessions_by_id_.end() ? nullptr : it->second;
}

bool session_table::has_open_session(ordinal instance) const
{
    std::shared_lock lock(mutex_);
    return open_by_ordinal_.contains(instance);
}

std::size_t session_table::open_count() const
{
    std::shared_lock lock(mutex_);
    return open_count_;
}

std::vector<session_table::session_pointer> session_table::all_sessions() const
{
    std::shared_lock lock(mutex_);
    std::vector<session_pointer> sessions;
    sessions.reserve(sessions_by_id_.size());
    for (const auto& [id, session] : sessions_by_id_)
        sessions.push_back(session);
    return sessions;
}

} // namespace turmericlane
