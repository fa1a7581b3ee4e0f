#include "group_registry.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

// Sub-requests that may wait for each slot. At 5 ms each this is 0.6 s of work,
// more than any rank but the slowest may wait.
constexpr std::size_t queue_length_per_slot = 128;
// Attempts in flight beyond the slots of a server. With a round trip of 2 ms
// and a service time of 4.5 ms, 3 slots need 4.3 attempts in flight to stay
// busy.
constexpr std::uint32_t attempts_beyond_slots = 2;
// For this time queries that are pinned to an earlier partition map may use its
// servers. A leaving server must get no new work after 3 s.
constexpr duration removed_server_grace_time = 2s;

} // namespace

void group_registry::on_bundle(
    std::shared_ptr<const bundle> new_bundle, time_point now)
{
    assert(new_bundle != nullptr);
    active_bundle_ = std::move(new_bundle);
    remove_idle_groups();
    for (auto& it : groups_)
        update_group(*it.second, now);
    retire_missing_servers(now);
}

void group_registry::on_listed_leaving(
    searcher_id id, bool is_leaving, time_point now)
{
    if (is_leaving)
        listed_leaving_.insert(id);
    else
        listed_leaving_.erase(id);
    if (auto* server = find_server(id); server != nullptr)
        server->on_listed_leaving(is_leaving, now);
}

group_state* group_registry::find_or_add_group(
    group_id id, std::uint64_t epoch, time_point now)
{
    auto it = groups_.find({id, epoch});
    if (it != groups_.end())
        return it->second.get();
    if (active_bundle_ == nullptr || active_bundle_->find_group(id) == nullptr)
        return nullptr;
    auto current_epoch = active_bundle_->find_service(id.service)->epoch;
    auto& new_group = groups_[{id, current_epoch}];
    if (new_group != nullptr)
        return new_group.get();
    new_group = std::make_unique<group_state>();
    new_group->id = id;
    new_group->epoch = current_epoch;
    update_group(*new_group, now);
    return new_group.get();
}

backend_server* group_registry::find_server(searcher_id id)
{
    auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : it->second.server.get();
}

std::span<group_state* const>
group_registry::groups_of_server(searcher_id id) const
{
    auto it = servers_.find(id);
    if (it == servers_.end())
        return {};
    return it->second.groups;
}

std::vector<group_state*> group_registry::groups()
{
    std::vector<group_state*> result;
    result.reserve(groups_.size());
    for (auto& it : groups_)
        result.push_back(it.second.get());
    return result;
}

void group_registry::reset_measurements()
{
    for (auto& it : servers_)
        it.second.server->reset_measurements();
    for (auto& it : groups_)
        it.second->latencies.clear();
}

/** Updates servers, limits and policy of a group from the active bundle. A
    group of another epoch keeps its servers and limits. */
void group_registry::update_group(group_state& group, time_point now)
{
    const auto* service = active_bundle_->find_service(group.id.service);
    const auto* listed_group = active_bundle_->find_group(group.id);
    group.latencies.set_percentile(active_bundle_->policy.hedge_percentile);
    if (listed_group == nullptr || service->epoch != group.epoch)
        return;
    auto max_connections = active_bundle_->connection_share(*service);
    auto max_in_flight =
        std::min(max_connections, service->slots + attempts_beyond_slots);
    auto had_servers = !group.replicas.servers().empty();
    std::vector<backend_server*> servers;
    group.slots = 0;
    for (const auto& it : listed_group->searchers)
    {
        auto& server = find_or_add_server(it, group, had_servers, now);
        server.set_limits(service->slots, max_in_flight);
        server.on_bundle(it.leaving ? now : time_point::max(), now);
        if (!server.is_leaving(now))
            group.slots += service->slots;
        servers.push_back(&server);
    }
    for (auto* it : group.replicas.servers())
        if (std::find(servers.begin(), servers.end(), it) == servers.end())
            std::erase(servers_.at(it->id()).groups, &group);
    group.replicas.assign(std::move(servers));
    group.queue.set_policy(
        *active_bundle_, queue_length_per_slot * std::max(group.slots, 1U));
}

/** Removes groups that are not in the active bundle and have no sub-request and
    no attempt. */
void group_registry::remove_idle_groups()
{
    std::erase_if(
        groups_,
        [this](const auto& it)
        {
            const auto& group = *it.second;
            const auto* service =
                active_bundle_->find_service(group.id.service);
            auto is_current = service != nullptr &&
                              service->epoch == group.epoch &&
                              active_bundle_->find_group(group.id) != nullptr;
            auto is_busy = group.queue.waiting_count() > 0 ||
                           !group.waiting_extra_attempts.empty();
            for (auto count : group.attempts_in_flight)
                is_busy |= count > 0;
            if (is_current || is_busy)
                return false;
            for (const auto* server : group.replicas.servers())
                std::erase(servers_.at(server->id()).groups, it.second.get());
            return true;
        });
}

void group_registry::retire_missing_servers(time_point now)
{
    std::unordered_set<searcher_id> listed_ids;
    for (const auto& service : active_bundle_->services)
        for (const auto& group : service.groups)
            for (const auto& it : group.searchers)
                listed_ids.insert(it.id);
    for (auto it = servers_.begin(); it != servers_.end();)
    {
        auto& server = *it->second.server;
        auto is_unused =
            it->second.groups.empty() && server.attempts_in_flight() == 0;
        if (listed_ids.contains(it->first))
            ++it;
        else if (is_unused)
            it = servers_.erase(it);
        else
        {
            if (!server.is_leaving(now + removed_server_grace_time))
                server.on_bundle(now + removed_server_grace_time, now);
            ++it;
        }
    }
}

backend_server& group_registry::find_or_add_server(
    const searcher& listed_searcher,
    group_state& group,
    bool needs_slow_start,
    time_point now)
{
    auto& record = servers_[listed_searcher.id];
    if (record.server == nullptr)
    {
        record.server = std::make_unique<backend_server>(listed_searcher.id);
        record.server->on_listed_leaving(
            listed_leaving_.contains(listed_searcher.id), now);
        if (needs_slow_start)
            record.server->begin_slow_start(now);
    }
    if (std::find(record.groups.begin(), record.groups.end(), &group) ==
        record.groups.end())
        record.groups.push_back(&group);
    return *record.server;
}

} // namespace turmericlane
