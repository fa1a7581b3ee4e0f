#include "session_table.h"

#include <algorithm>

namespace turmericlane
{

bool session_table::add(const session_pointer& session, std::size_t limit)
{
    std::unique_lock lock(mutex_);
    if (all_.size() >= limit)
        return false;
    all_.emplace(session->identity().session, session);
    return true;
}

void session_table::open(const session_pointer& session)
{
    const auto& peer = session->identity();
    std::unique_lock lock(mutex_);
    ++open_count_;
    auto& list = by_ordinal_[peer.instance];
    // A new nonce is a restarted process; its predecessor may be paused.
    bool restarted =
        !list.empty() && list.front()->identity().nonce != peer.nonce;
    list.insert(restarted ? list.begin() : list.end(), session);
    if (peer.outgoing)
        by_address_[peer.remote] = session;
}

void session_table::remove(const session_pointer& session)
{
    const auto& peer = session->identity();
    std::unique_lock lock(mutex_);
    all_.erase(peer.session);
    auto list = by_ordinal_.find(peer.instance);
    if (list == by_ordinal_.end())
        return;
    if (std::erase(list->second, session) == 0)
        return;
    --open_count_;
    if (list->second.empty())
        by_ordinal_.erase(list);
    auto address = by_address_.find(peer.remote);
    if (address != by_address_.end() && address->second == session)
        by_address_.erase(address);
}

bool session_table::send(ordinal to, const encoded_message& message) const
{
    std::shared_lock lock(mutex_);
    auto list = by_ordinal_.find(to);
    if (list == by_ordinal_.end())
        return false;
    return std::any_of(
        list->second.begin(), list->second.end(),
        [&](const auto& it)
        { return it->send(message.type, message.payload); });
}

bool session_table::send(
    const peer_address& to, const encoded_message& message) const
{
    std::shared_lock lock(mutex_);
    auto it = by_address_.find(to);
    return it != by_address_.end() &&
           it->second->send(message.type, message.payload);
}

bool session_table::send(
    std::uint64_t session, const encoded_message& message) const
{
    std::shared_lock lock(mutex_);
    auto it = all_.find(session);
    return it != all_.end() && it->second->send(message.type, message.payload);
}

session_table::session_pointer session_table::find(std::uint64_t session) const
{
    std::shared_lock lock(mutex_);
    auto it = all_.find(session);
    return it == all_.end() ? nullptr : it->second;
}

bool session_table::connected(ordinal with) const
{
    std::shared_lock lock(mutex_);
    return by_ordinal_.contains(with);
}

std::size_t session_table::open_count() const
{
    std::shared_lock lock(mutex_);
    return open_count_;
}

std::vector<session_table::session_pointer> session_table::all() const
{
    std::shared_lock lock(mutex_);
    std::vector<session_pointer> made;
    made.reserve(all_.size());
    for (const auto& [number, session] : all_)
        made.push_back(session);
    return made;
}

} // namespace turmericlane
