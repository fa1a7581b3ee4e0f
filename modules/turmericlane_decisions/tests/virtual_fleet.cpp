#include "virtual_fleet.h"

namespace turmericlane::tests
{

using namespace std::chrono_literals;

std::shared_ptr<bundle> make_bundle(
    std::uint32_t group_count, const std::vector<std::uint32_t>& replica_counts)
{
    auto result = std::make_shared<bundle>();
    result->version = 1;
    result->max_instances = 4;
    result->ranks[0].target = 140ms;
    result->ranks[1].target = 300ms;
    result->ranks[2].target = 1000ms;
    result->ranks[1].min_share = 0.2;
    result->ranks[2].min_share = 0.1;
    searcher_id next_id = 1;
    for (std::size_t n = 0; n < replica_counts.size(); ++n)
    {
        service_map service;
        service.id = static_cast<std::uint32_t>(n);
        service.name = "service" + std::to_string(n);
        service.epoch = 1;
        service.slots = 3;
        service.connection_limit = 30;
        for (std::uint32_t partition = 0; partition < group_count; ++partition)
        {
            group replicas{partition, {}};
            for (std::uint32_t replica = 0; replica < replica_counts[n];
                 ++replica)
                replicas.searchers.push_back(
                    {next_id++, "127.0.0.1", 1, "a", false});
            service.groups.push_back(replicas);
        }
        result->services.push_back(service);
    }
    return result;
}

class virtual_fleet::instance_actions : public entry_actions,
                                        public owner_actions
{
public:
    instance_actions(virtual_fleet& fleet, ordinal own_ordinal)
        : fleet_(fleet)
        , own_ordinal_(own_ordinal)
    {
    }

    void send_batch(ordinal owner, const search_batch& batch) override
    {
        deliver(
            owner, [&fleet = fleet_, owner, entry = own_ordinal_, batch]
            { fleet.owners[owner]->on_batch(entry, batch); });
    }

    void send_cancel(ordinal owner, query_id id) override
    {
        deliver(
            owner, [&fleet = fleet_, owner, id]
            { fleet.owners[owner]->on_cancel(id); });
    }

    void finish(const search_answer& answer) override
    {
        auto& fleet = fleet_;
        auto key = std::pair(answer.id.nonce, answer.id.counter);
        auto found = fleet.record_indices.find(key);
        // A refusal is reported before on_search has returned the id.
        auto index = found == fleet.record_indices.end()
                         ? fleet.records.size() - 1
                         : found->second;
        auto& it = fleet.records[index];
        ++it.finish_count;
        it.answer = answer;
        it.finish_time = fleet.time_source.now();
    }

    void start_attempt(attempt_id id, const backend_request& request) override
    {
        fleet_.start_attempt(own_ordinal_, id, request);
    }

    void cancel_attempt(attempt_id id) override
    {
        backend_reply reply;
        reply.status = backend_status::cancelled;
        fleet_.schedule(
            fleet_.time_source.now() + 1ms,
            [&fleet = fleet_, own = own_ordinal_, id, reply]
            { fleet.end_attempt(own, id, reply); });
    }

    void reply(ordinal entry, const shard_reply& reply) override
    {
        auto& fleet = fleet_;
        if (fleet.is_disconnected_[own_ordinal_] ||
            fleet.is_disconnected_[entry] ||
            fleet.draw_event(fleet.faults_.reply_loss_rate))
            return;
        auto copies =
            fleet.draw_event(fleet.faults_.reply_duplication_rate) ? 2 : 1;
        for (int n = 0; n < copies; ++n)
        {
            auto delay =
                fleet.draw_event(fleet.faults_.late_reply_rate) ? 60ms : 0ms;
            fleet.schedule(
                fleet.time_source.now() +
                    fleet.draw_duration(fleet.faults_.hop_time) + delay,
                [&fleet, entry, reply]
                { fleet.entries[entry]->on_shard_reply(reply); });
        }
    }

private:
    /** Delivers a message; those of one connection keep their order. */
    void deliver(ordinal receiver, std::function<void()> action)
    {
        auto& fleet = fleet_;
        if (fleet.is_disconnected_[receiver] ||
            fleet.is_disconnected_[own_ordinal_])
            return;
        auto& delivery_time = fleet.last_delivery_[{own_ordinal_, receiver}];
        delivery_time = std::max(
            delivery_time, fleet.time_source.now() +
                               fleet.draw_duration(fleet.faults_.hop_time));
        fleet.schedule(
            delivery_time,
            [&fleet, receiver, action = std::move(action)]
            {
                if (!fleet.is_disconnected_[receiver])
                    action();
            });
    }

    virtual_fleet& fleet_;
    ordinal own_ordinal_;
};

virtual_fleet::virtual_fleet(
    std::uint64_t seed,
    std::uint32_t instance_count,
    std::shared_ptr<bundle> bundle_in_force,
    faults fleet_faults)
    : random(seed)
    , faults_(fleet_faults)
    , is_disconnected_(instance_count)
{
    for (ordinal it = 0; it < instance_count; ++it)
    {
        actions_.push_back(std::make_unique<instance_actions>(*this, it));
        auto& actions = *actions_.back();
        entries.push_back(std::make_unique<search_coordinator>(
            it, 100 + it, time_source, *this, actions, nullptr));
        owners.push_back(std::make_unique<group_dispatcher>(
            seed + it, time_source, actions, nullptr));
    }
    set_bundle(std::move(bundle_in_force));
}

virtual_fleet::~virtual_fleet() = default;

bool virtual_fleet::is_usable(ordinal owner) const
{
    return owner < is_disconnected_.size() && !is_disconnected_[owner];
}

void virtual_fleet::set_bundle(std::shared_ptr<bundle> bundle_in_force)
{
    bundle_in_force_ = std::move(bundle_in_force);
    for (auto& it : entries)
        it->on_bundle(bundle_in_force_);
    for (auto& it : owners)
        it->on_bundle(bundle_in_force_);
}

std::size_t virtual_fleet::search(
    ordinal entry,
    rank request_rank,
    duration time_left,
    std::size_t service_count)
{
    search_request request;
    request.request_rank = request_rank;
    request.deadline = time_source.now() + time_left;
    request.limit = 1000;
    request.query = "open huts with power hookup";
    for (std::size_t n = 0; n < service_count; ++n)
        request.services.push_back(bundle_in_force_->services[n].id);
    auto index = records.size();
    records.emplace_back();
    records[index].start_time = time_source.now();
    auto id = entries[entry]->on_search(request);
    records[index].id = id;
    record_indices[{id.nonce, id.counter}] = index;
    return index;
}

void virtual_fleet::disconnect_instance(ordinal instance)
{
    is_disconnected_[instance] = true;
    for (ordinal it = 0; it < is_disconnected_.size(); ++it)
    {
        if (it == instance)
            continue;
        entries[it]->on_owner_lost(instance);
        owners[it]->on_entry_lost(instance);
    }
}

void virtual_fleet::run_until(time_point end)
{
    for (;;)
    {
        auto next_due = next_timer_due();
        if (!events_.empty())
            next_due = std::min(next_due, events_.top().due);
        if (next_due > end)
            break;
        time_source.advance_to(std::max(next_due, time_source.now()));
        run_due_timers();
        while (!events_.empty() && events_.top().due <= time_source.now())
        {
            auto action = events_.top().action;
            events_.pop();
            action();
        }
    }
    time_source.advance_to(end);
}

bool virtual_fleet::draw_event(double rate)
{
    return std::uniform_real_distribution<>(0.0, 1.0)(random) < rate;
}

duration virtual_fleet::draw_duration(duration median)
{
    auto factor = std::lognormal_distribution<>(0.0, 0.5)(random);
    return std::chrono::duration_cast<duration>(median * factor);
}

void virtual_fleet::schedule(time_point due, std::function<void()> action)
{
    events_.push({due, event_count_++, std::move(action)});
}

void virtual_fleet::run_due_timers()
{
    for (std::size_t n = 0; n < entries.size(); ++n)
    {
        if (entries[n]->next_wakeup() <= time_source.now())
            entries[n]->on_timer();
        if (owners[n]->next_wakeup() <= time_source.now())
            owners[n]->on_timer();
    }
}

time_point virtual_fleet::next_timer_due() const
{
    auto result = time_point::max();
    for (std::size_t n = 0; n < entries.size(); ++n)
        result = std::min(
            {result, entries[n]->next_wakeup(), owners[n]->next_wakeup()});
    return result;
}

void virtual_fleet::start_attempt(
    ordinal owner, attempt_id id, const backend_request& request)
{
    const auto& service =
        *bundle_in_force_->find_service(request.group.service);
    auto window = std::min(
        bundle_in_force_->connection_share(service), service.slots + 2);
    if (++in_flight_[{owner, request.server}] > window)
        ++window_violations;
    running_attempts_[{owner, id}] = request.server;
    ++request_counts[request.server];
    auto reply = make_reply(request);
    auto service_time = reply.status == backend_status::timed_out
                            ? request.time_left
                            : draw_duration(faults_.backend_time);
    schedule(
        time_source.now() + service_time,
        [this, owner, id, reply] { end_attempt(owner, id, reply); });
}

void virtual_fleet::end_attempt(
    ordinal owner, attempt_id id, const backend_reply& reply)
{
    auto found = running_attempts_.find({owner, id});
    if (found == running_attempts_.end())
        return;
    --in_flight_[{owner, found->second}];
    running_attempts_.erase(found);
    owners[owner]->on_backend_reply(id, reply);
}

backend_reply virtual_fleet::make_reply(const backend_request& request)
{
    backend_reply reply;
    reply.served_snapshots = {newest_snapshot - 1, newest_snapshot};
    reply.epoch = bundle_in_force_->find_service(request.group.service)->epoch;
    reply.snapshot = request.snapshot == 0 ? newest_snapshot : request.snapshot;
    if (unreachable_servers.contains(request.server))
        reply.status = backend_status::connect_failed;
    else if (draw_event(faults_.backend_failure_rate))
        reply.status = static_cast<backend_status>(1 + random() % 8);
    else if (
        reply.snapshot < reply.served_snapshots.oldest ||
        reply.snapshot > reply.served_snapshots.newest)
        reply.status = backend_status::snapshot_gone;
    auto is_refused = reply.status == backend_status::connect_failed ||
                      reply.status == backend_status::shed ||
                      reply.status == backend_status::draining ||
                      reply.status == backend_status::snapshot_gone;
    if (!is_refused)
        executed_queries.insert({request.id.nonce, request.id.counter});
    if (reply.status == backend_status::ok)
        reply.hits.push_back(
            {std::to_string(reply.snapshot) + "/" +
                 std::to_string(request.group.service) + "." +
                 std::to_string(request.group.partition),
             1.0});
    return reply;
}

} // namespace turmericlane::tests
