#include "group_registry.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

// Entries that may wait for each slot. At 5 ms a request it is 0.6 s of work,
// more than any rank but the slowest may wait.
constexpr std::size_t queue_entries_per_slot = 128;
// Requests in flight beyond the slots of a server. At a round trip of 2 ms and
// 4.5 ms of service, 3 slots need 4.3 requests in flight to stay busy.
constexpr std::uint32_t requests_beyond_slots = 2;
// Queries that are pinned to an earlier partition map may use its servers for
// this long; the limit for new work after leaving is 3 s.
constexpr duration removed_server_grace = 2s;

} // namespace

void group_registry::on_bundle(
    std::shared_ptr<const bundle> in_force, time_point now)
{
    assert(in_force != nullptr);
    in_force_ = std::move(in_force);
    remove_idle_groups();
    for (auto& it : groups_)
        update(*it.second, now);
    retire_missing_servers(now);
}

void group_registry::on_listed(searcher_id id, bool leaving, time_point now)
{
    if (leaving)
        listed_leaving_.insert(id);
    else
        listed_leaving_.erase(id);
    if (auto* known = find_server(id); known != nullptr)
        known->on_listed(leaving, now);
}

group_state*
group_registry::find_group(group_id id, std::uint64_t epoch, time_point now)
{
    auto found = groups_.find({id, epoch});
    if (found != groups_.end())
        return found->second.get();
    if (in_force_ == nullptr || in_force_->find_group(id) == nullptr)
        return nullptr;
    auto current = in_force_->find_service(id.service)->epoch;
    auto& made = groups_[{id, current}];
    if (made != nullptr)
        return made.get();
    made = std::make_unique<group_state>();
    made->id = id;
    made->epoch = current;
    update(*made, now);
    return made.get();
}

backend_server* group_registry::find_server(searcher_id id)
{
    auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second.server.get();
}

std::span<group_state* const> group_registry::groups_of(searcher_id id) const
{
    auto found = servers_.find(id);
    if (found == servers_.end())
        return {};
    return found->second.groups;
}

std::vector<group_state*> group_registry::groups()
{
    std::vector<group_state*> all;
    all.reserve(groups_.size());
    for (auto& it : groups_)
        all.push_back(it.second.get());
    return all;
}

void group_registry::forget_views()
{
    for (auto& it : servers_)
        it.second.server->forget_views();
    for (auto& it : groups_)
        it.second->latencies.clear();
}

/** Takes servers, limits and policy of a group from the bundle in force. A
    group of another epoch keeps its servers. */
void group_registry::update(group_state& of, time_point now)
{
    const auto* service = in_force_->find_service(of.id.service);
    const auto* content = in_force_->find_group(of.id);
    of.latencies.set_percentile(in_force_->policy.hedge_percentile);
    if (content == nullptr || service->epoch != of.epoch)
        return;
    auto share = in_force_->connection_share(*service);
    auto window = std::min(share, service->slots + requests_beyond_slots);
    auto known = !of.replicas.servers().empty();
    std::vector<backend_server*> servers;
    of.slots = 0;
    for (const auto& it : content->searchers)
    {
        auto& server = server_for(it, of, known, now);
        server.set_limits(service->slots, window);
        server.on_bundle(it.leaving ? now : time_point::max(), now);
        if (!server.leaving(now))
            of.slots += service->slots;
        servers.push_back(&server);
    }
    for (auto* it : of.replicas.servers())
        if (std::find(servers.begin(), servers.end(), it) == servers.end())
            std::erase(servers_.at(it->id()).groups, &of);
    of.replicas.assign(std::move(servers));
    of.queue.set_policy(
        *in_force_, queue_entries_per_slot * std::max(of.slots, 1U));
}

/** Removes groups that have no part and no request, and are not in force. */
void group_registry::remove_idle_groups()
{
    std::erase_if(
        groups_,
        [this](const auto& it)
        {
            const auto& state = *it.second;
            const auto* service = in_force_->find_service(state.id.service);
            auto current = service != nullptr &&
                           service->epoch == state.epoch &&
                           in_force_->find_group(state.id) != nullptr;
            auto busy = state.queue.waiting() > 0 || !state.extras.empty();
            for (auto count : state.in_flight)
                busy |= count > 0;
            if (current || busy)
                return false;
            for (const auto* server : state.replicas.servers())
                std::erase(servers_.at(server->id()).groups, it.second.get());
            return true;
        });
}

void group_registry::retire_missing_servers(time_point now)
{
    std::unordered_set<searcher_id> present;
    for (const auto& service : in_force_->services)
        for (const auto& group : service.groups)
            for (const auto& it : group.searchers)
                present.insert(it.id);
    for (auto it = servers_.begin(); it != servers_.end();)
    {
        auto& server = *it->second.server;
        auto unused = it->second.groups.empty() && server.in_flight() == 0;
        if (present.contains(it->first))
            ++it;
        else if (unused)
            it = servers_.erase(it);
        else
        {
            if (!server.leaving(now + removed_server_grace))
                server.on_bundle(now + removed_server_grace, now);
            ++it;
        }
    }
}

backend_server& group_registry::server_for(
    const searcher& from, group_state& in, bool slowly, time_point now)
{
    auto& entry = servers_[from.id];
    if (entry.server == nullptr)
    {
        entry.server = std::make_unique<backend_server>(from.id);
        entry.server->on_listed(listed_leaving_.contains(from.id), now);
        if (slowly)
            entry.server->start_slowly(now);
    }
    if (std::find(entry.groups.begin(), entry.groups.end(), &in) ==
        entry.groups.end())
        entry.groups.push_back(&in);
    return *entry.server;
}

} // namespace turmericlane
