#include "virtual_fleet.h"

namespace turmericlane::tests
{

using namespace std::chrono_literals;

std::shared_ptr<bundle>
make_bundle(std::uint32_t groups, const std::vector<std::uint32_t>& replicas)
{
    auto made = std::make_shared<bundle>();
    made->version = 1;
    made->max_instances = 4;
    made->ranks[0].target = 140ms;
    made->ranks[1].target = 300ms;
    made->ranks[2].target = 1000ms;
    made->ranks[1].min_share = 0.2;
    made->ranks[2].min_share = 0.1;
    searcher_id next = 1;
    for (std::size_t n = 0; n < replicas.size(); ++n)
    {
        service_map service;
        service.id = static_cast<std::uint32_t>(n);
        service.name = "service" + std::to_string(n);
        service.epoch = 1;
        service.slots = 3;
        service.connection_limit = 30;
        for (std::uint32_t p = 0; p < groups; ++p)
        {
            group part{p, {}};
            for (std::uint32_t r = 0; r < replicas[n]; ++r)
                part.searchers.push_back({next++, "127.0.0.1", 1, "a", false});
            service.groups.push_back(part);
        }
        made->services.push_back(service);
    }
    return made;
}

class virtual_fleet::instance_actions : public entry_actions,
                                        public owner_actions
{
public:
    instance_actions(virtual_fleet& fleet, ordinal self)
        : fleet_(fleet)
        , self_(self)
    {
    }

    void send_batch(ordinal owner, const search_batch& batch) override
    {
        deliver(
            owner, [&f = fleet_, owner, from = self_, batch]
            { f.owners[owner]->on_batch(from, batch); });
    }

    void send_cancel(ordinal owner, query_id id) override
    {
        deliver(
            owner,
            [&f = fleet_, owner, id] { f.owners[owner]->on_cancel(id); });
    }

    void finish(const search_answer& answer) override
    {
        auto& f = fleet_;
        auto key = std::pair(answer.id.nonce, answer.id.counter);
        auto found = f.by_id.find(key);
        // A refusal comes before on_search has returned the id.
        auto at = found == f.by_id.end() ? f.records.size() - 1 : found->second;
        auto& it = f.records[at];
        ++it.finished;
        it.answer = answer;
        it.ended = f.time.now();
    }

    void start_attempt(attempt_id id, const backend_request& request) override
    {
        fleet_.start(self_, id, request);
    }

    void cancel_attempt(attempt_id id) override
    {
        backend_reply reply;
        reply.status = backend_status::cancelled;
        fleet_.at(
            fleet_.time.now() + 1ms,
            [&f = fleet_, s = self_, id, reply] { f.end(s, id, reply); });
    }

    void reply(ordinal entry, const shard_reply& reply) override
    {
        auto& f = fleet_;
        if (f.lost_[self_] || f.lost_[entry] || f.happens(f.faults_.reply_lost))
            return;
        auto copies = f.happens(f.faults_.reply_doubled) ? 2 : 1;
        for (int n = 0; n < copies; ++n)
        {
            auto late = f.happens(f.faults_.reply_late) ? 60ms : 0ms;
            f.at(
                f.time.now() + f.vary(f.faults_.hop) + late, [&f, entry, reply]
                { f.entries[entry]->on_shard_reply(reply); });
        }
    }

private:
    /** Messages of one connection keep their order. */
    void deliver(ordinal to, std::function<void()> run)
    {
        auto& f = fleet_;
        if (f.lost_[to] || f.lost_[self_])
            return;
        auto& last = f.last_delivery_[{self_, to}];
        last = std::max(last, f.time.now() + f.vary(f.faults_.hop));
        f.at(
            last,
            [&f, to, run = std::move(run)]
            {
                if (!f.lost_[to])
                    run();
            });
    }

    virtual_fleet& fleet_;
    ordinal self_;
};

virtual_fleet::virtual_fleet(
    std::uint64_t seed,
    std::uint32_t instances,
    std::shared_ptr<bundle> in_force,
    faults with)
    : random(seed)
    , faults_(with)
    , lost_(instances)
{
    for (ordinal it = 0; it < instances; ++it)
    {
        actions_.push_back(std::make_unique<instance_actions>(*this, it));
        auto& actions = *actions_.back();
        entries.push_back(std::make_unique<search_coordinator>(
            it, 100 + it, time, *this, actions, nullptr));
        owners.push_back(std::make_unique<group_dispatcher>(
            seed + it, time, actions, nullptr));
    }
    set_bundle(std::move(in_force));
}

virtual_fleet::~virtual_fleet() = default;

bool virtual_fleet::is_usable(ordinal owner) const
{
    return owner < lost_.size() && !lost_[owner];
}

void virtual_fleet::set_bundle(std::shared_ptr<bundle> in_force)
{
    in_force_ = std::move(in_force);
    for (auto& it : entries)
        it->on_bundle(in_force_);
    for (auto& it : owners)
        it->on_bundle(in_force_);
}

std::size_t virtual_fleet::search(
    ordinal entry, rank work, duration time_left, std::size_t services)
{
    search_request request;
    request.request_rank = work;
    request.deadline = time.now() + time_left;
    request.limit = 1000;
    request.query = "open huts with power hookup";
    for (std::size_t n = 0; n < services; ++n)
        request.services.push_back(in_force_->services[n].id);
    auto at = records.size();
    records.emplace_back();
    records[at].asked = time.now();
    auto id = entries[entry]->on_search(request);
    records[at].id = id;
    by_id[{id.nonce, id.counter}] = at;
    return at;
}

void virtual_fleet::lose_instance(ordinal lost)
{
    lost_[lost] = true;
    for (ordinal it = 0; it < lost_.size(); ++it)
    {
        if (it == lost)
            continue;
        entries[it]->on_owner_lost(lost);
        owners[it]->on_entry_lost(lost);
    }
}

void virtual_fleet::run_until(time_point end)
{
    for (;;)
    {
        auto next = next_timer();
        if (!events_.empty())
            next = std::min(next, events_.top().due);
        if (next > end)
            break;
        time.advance_to(std::max(next, time.now()));
        run_timers();
        while (!events_.empty() && events_.top().due <= time.now())
        {
            auto run = events_.top().run;
            events_.pop();
            run();
        }
    }
    time.advance_to(end);
}

bool virtual_fleet::happens(double rate)
{
    return std::uniform_real_distribution<>(0.0, 1.0)(random) < rate;
}

duration virtual_fleet::vary(duration typical)
{
    auto factor = std::lognormal_distribution<>(0.0, 0.5)(random);
    return std::chrono::duration_cast<duration>(typical * factor);
}

void virtual_fleet::at(time_point due, std::function<void()> run)
{
    events_.push({due, order_++, std::move(run)});
}

void virtual_fleet::run_timers()
{
    for (std::size_t n = 0; n < entries.size(); ++n)
    {
        if (entries[n]->next_wakeup() <= time.now())
            entries[n]->on_timer();
        if (owners[n]->next_wakeup() <= time.now())
            owners[n]->on_timer();
    }
}

time_point virtual_fleet::next_timer() const
{
    auto next = time_point::max();
    for (std::size_t n = 0; n < entries.size(); ++n)
        next = std::min(
            {next, entries[n]->next_wakeup(), owners[n]->next_wakeup()});
    return next;
}

void virtual_fleet::start(
    ordinal owner, attempt_id id, const backend_request& request)
{
    const auto& service = *in_force_->find_service(request.group.service);
    auto window =
        std::min(in_force_->connection_share(service), service.slots + 2);
    if (++in_flight_[{owner, request.server}] > window)
        ++window_violations;
    running_[{owner, id}] = request.server;
    ++received[request.server];
    auto reply = make_reply(request);
    auto took = reply.status == backend_status::timed_out
                    ? request.time_left
                    : vary(faults_.backend_time);
    at(time.now() + took, [this, owner, id, reply] { end(owner, id, reply); });
}

void virtual_fleet::end(
    ordinal owner, attempt_id id, const backend_reply& reply)
{
    auto found = running_.find({owner, id});
    if (found == running_.end())
        return;
    --in_flight_[{owner, found->second}];
    running_.erase(found);
    owners[owner]->on_backend_reply(id, reply);
}

backend_reply virtual_fleet::make_reply(const backend_request& request)
{
    backend_reply reply;
    reply.served_snapshots = {newest_snapshot - 1, newest_snapshot};
    reply.epoch = in_force_->find_service(request.group.service)->epoch;
    reply.snapshot = request.snapshot == 0 ? newest_snapshot : request.snapshot;
    if (dead.contains(request.server))
        reply.status = backend_status::connect_failed;
    else if (happens(faults_.backend_failure))
        reply.status = static_cast<backend_status>(1 + random() % 8);
    else if (
        reply.snapshot < reply.served_snapshots.oldest ||
        reply.snapshot > reply.served_snapshots.newest)
        reply.status = backend_status::snapshot_gone;
    auto refused = reply.status == backend_status::connect_failed ||
                   reply.status == backend_status::shed ||
                   reply.status == backend_status::draining ||
                   reply.status == backend_status::snapshot_gone;
    if (!refused)
        ran.insert({request.id.nonce, request.id.counter});
    if (reply.status == backend_status::ok)
        reply.hits.push_back(
            {std::to_string(reply.snapshot) + "/" +
                 std::to_string(request.group.service) + "." +
                 std::to_string(request.group.partition),
             1.0});
    return reply;
}

} // namespace turmericlane::tests
