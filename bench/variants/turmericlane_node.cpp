#include "turmericlane_node.h"

#include "../driver/draw.h"

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

// Every hit of a query fits, so that the checker sees every group.
constexpr std::uint32_t hit_limit = 64;
// The client's pool keeps the share of a candidate owner (section 3.1 of the
// design): the limit divided by twice the number of candidates.
constexpr std::uint32_t share_divisor = 6;

} // namespace

turmericlane_node::turmericlane_node(
    const surroundings& around, ordinal self, peer_lookup peers)
    : search_node(around, self, share_divisor)
    , peers_(std::move(peers))
    , usable_(instance_count + 1, false)
    , generations_(instance_count + 1, 0)
    , coordinator_(
          self,
          hash_of({around.seed, self, 1}),
          around.events.time(),
          *this,
          *this,
          nullptr)
    , dispatcher_(
          hash_of({around.seed, self, 2}), around.events.time(), *this, nullptr)
{
    std::fill_n(usable_.begin(), instance_count, true);
}

void turmericlane_node::on_bundle(const std::shared_ptr<const bundle>& of)
{
    coordinator_.on_bundle(of);
    dispatcher_.on_bundle(of);
    set_timers();
}

void turmericlane_node::on_search(
    std::uint64_t query, rank work, time_point deadline)
{
    search_request made;
    made.caller_request_id = std::to_string(query);
    made.query = made.caller_request_id;
    made.services = services_of(work);
    made.request_rank = work;
    made.deadline = deadline;
    made.limit = hit_limit;
    coordinator_.on_search(made);
    set_timers();
}

void turmericlane_node::on_load_report(const load_report& report)
{
    dispatcher_.on_load_report(report);
    set_timers();
}

void turmericlane_node::on_peer_view(ordinal peer, bool usable)
{
    usable_.at(peer) = usable;
    if (!usable)
        close_connection(peer);
}

void turmericlane_node::close_connection(ordinal peer)
{
    around().network.break_connection(self(), peer);
    see_connection(peer);
    // The other side sees the end of the connection, unless it is cut off.
    send_to(peer, [](turmericlane_node&) {});
}

void turmericlane_node::see_connection(ordinal peer)
{
    auto current = around().network.generation(self(), peer);
    if (generations_.at(peer) == current)
        return;
    generations_[peer] = current;
    on_connection_lost(peer);
}

void turmericlane_node::on_connection_lost(ordinal peer)
{
    coordinator_.on_owner_lost(peer);
    dispatcher_.on_entry_lost(peer);
    set_timers();
}

void turmericlane_node::on_wake()
{
    dispatcher_.on_pause_detected();
    set_timers();
}

void turmericlane_node::send_batch(ordinal owner, const search_batch& batch)
{
    around().checker.on_batch(batch);
    queries_[batch.id] = query_number(batch.query);
    auto* peer = peers_(owner);
    if (peer == nullptr)
        return;
    auto hop = around().network.delay(data_centre(), peer->data_centre());
    auto receive = [entry = self(), batch, hop](turmericlane_node& to)
    { to.receive_batch(entry, batch, hop); };
    send_to(owner, receive);
}

void turmericlane_node::receive_batch(
    ordinal entry, search_batch batch, duration hop)
{
    batch.time_left -= hop;
    dispatcher_.on_batch(entry, batch);
    set_timers();
}

void turmericlane_node::send_cancel(ordinal owner, query_id id)
{
    auto receive = [id](turmericlane_node& to)
    {
        to.dispatcher_.on_cancel(id);
        to.set_timers();
    };
    send_to(owner, receive);
}

void turmericlane_node::finish(const search_answer& answer)
{
    queries_.erase(answer.id);
    around().checker.on_finish(answer, around().events.now());
}

void turmericlane_node::start_attempt(
    attempt_id id, const backend_request& request)
{
    auto end = [this, id](const backend_reply& reply)
    {
        attempts_.erase(id);
        dispatcher_.on_backend_reply(id, reply);
        set_timers();
    };
    attempts_[id] = link().start(request, end);
}

void turmericlane_node::cancel_attempt(attempt_id id)
{
    auto found = attempts_.find(id);
    if (found != attempts_.end())
        link().cancel(found->second);
}

void turmericlane_node::reply(ordinal entry, const shard_reply& reply)
{
    auto receive = [reply](turmericlane_node& to) { to.receive_reply(reply); };
    send_to(entry, receive);
}

void turmericlane_node::receive_reply(const shard_reply& reply)
{
    auto found = queries_.find(reply.id);
    if (found != queries_.end())
        around().checker.on_entry_reply(found->second, reply);
    coordinator_.on_shard_reply(reply);
    set_timers();
}

bool turmericlane_node::is_usable(ordinal owner) const
{
    return owner < usable_.size() && usable_[owner];
}

void turmericlane_node::send_to(
    ordinal peer, std::function<void(turmericlane_node&)> what)
{
    auto* to = peers_(peer);
    if (to == nullptr ||
        !around().network.reachable(data_centre(), to->data_centre()))
        return;
    auto hop = around().network.delay(data_centre(), to->data_centre());
    auto arrive =
        [this, to, sent = generations_.at(peer), call = std::move(what)]
    {
        to->process().deliver([this, to, sent, call]
                              { to->take(*this, sent, call); });
    };
    around().events.after(hop, arrive);
}

void turmericlane_node::take(
    turmericlane_node& from,
    std::uint64_t generation,
    const std::function<void(turmericlane_node&)>& what)
{
    see_connection(from.self());
    if (generation == generations_.at(from.self()))
    {
        what(*this);
        return;
    }
    // It was sent on a connection that is closed; the sender learns that.
    auto hop = around().network.delay(data_centre(), from.data_centre());
    auto refuse = [&from, peer = self()]
    { from.process().deliver([&from, peer] { from.see_connection(peer); }); };
    around().events.after(hop, refuse);
}

void turmericlane_node::set_timers()
{
    auto now = around().events.now();
    auto set = [&](time_point wanted, time_point& scheduled, auto call)
    {
        // A timer that fires too early is harmless; it is set again.
        if (wanted >= scheduled)
            return;
        scheduled = std::max(wanted, now + std::chrono::microseconds(1));
        auto fire = [this, call, &scheduled, point = scheduled]
        {
            if (scheduled != point)
                return;
            scheduled = time_point::max();
            call();
            set_timers();
        };
        around().events.at(
            scheduled, [this, fire] { process().deliver(fire); });
    };
    set(coordinator_.next_wakeup(), entry_timer_,
        [this] { coordinator_.on_timer(); });
    set(dispatcher_.next_wakeup(), owner_timer_,
        [this] { dispatcher_.on_timer(); });
}

} // namespace turmericlane::bench
