#include "turmericlane_instance.h"

#include "../driver/draw.h"

#include <algorithm>

namespace turmericlane::bench
{
namespace
{

// Large enough for all hits of a query, so that the checker sees every group.
constexpr std::uint32_t hit_limit = 64;
// The connection pool is limited to the share of a candidate owner (section 3.1
// of the design): the limit divided by twice the number of candidates.
constexpr std::uint32_t share_divisor = 6;

} // namespace

turmericlane_instance::turmericlane_instance(
    const run_context& context, ordinal own_ordinal, peer_lookup find_peer)
    : search_instance(context, own_ordinal, share_divisor)
    , find_peer_(std::move(find_peer))
    , usable_peers_(instance_count + 1, false)
    , connection_generations_(instance_count + 1, 0)
    , coordinator_(
          own_ordinal,
          hash_values({context.seed, own_ordinal, 1}),
          context.events.virtual_clock(),
          *this,
          *this,
          nullptr)
    , dispatcher_(
          hash_values({context.seed, own_ordinal, 2}),
          context.events.virtual_clock(),
          *this,
          nullptr)
{
    std::fill_n(usable_peers_.begin(), instance_count, true);
}

void turmericlane_instance::on_bundle(
    const std::shared_ptr<const bundle>& new_bundle)
{
    coordinator_.on_bundle(new_bundle);
    dispatcher_.on_bundle(new_bundle);
    schedule_timers();
}

void turmericlane_instance::on_search(
    std::uint64_t query, rank query_rank, time_point deadline)
{
    search_request request;
    request.caller_request_id = std::to_string(query);
    request.query = request.caller_request_id;
    request.services = services_for_rank(query_rank);
    request.request_rank = query_rank;
    request.deadline = deadline;
    request.limit = hit_limit;
    coordinator_.on_search(request);
    schedule_timers();
}

void turmericlane_instance::on_load_report(const load_report& report)
{
    dispatcher_.on_load_report(report);
    schedule_timers();
}

void turmericlane_instance::on_peer_view(ordinal peer, bool is_usable)
{
    usable_peers_.at(peer) = is_usable;
    if (!is_usable)
        close_connection(peer);
}

void turmericlane_instance::close_connection(ordinal peer)
{
    context().network.break_connection(own_ordinal(), peer);
    check_connection(peer);
    // The peer detects the closed connection from this message, unless a
    // network split separates the two.
    send_message(peer, [](turmericlane_instance&) {});
}

void turmericlane_instance::check_connection(ordinal peer)
{
    auto current = context().network.generation(own_ordinal(), peer);
    if (connection_generations_.at(peer) == current)
        return;
    connection_generations_[peer] = current;
    on_connection_lost(peer);
}

void turmericlane_instance::on_connection_lost(ordinal peer)
{
    coordinator_.on_owner_lost(peer);
    dispatcher_.on_entry_lost(peer);
    schedule_timers();
}

void turmericlane_instance::on_resume()
{
    dispatcher_.on_pause_detected();
    schedule_timers();
}

void turmericlane_instance::send_batch(ordinal owner, const search_batch& batch)
{
    context().checker.on_batch(batch);
    query_numbers_[batch.id] = query_number(batch.query);
    auto* peer = find_peer_(owner);
    if (peer == nullptr)
        return;
    auto hop_delay =
        context().network.delay(data_centre(), peer->data_centre());
    auto receive = [entry = own_ordinal(), batch,
                    hop_delay](turmericlane_instance& receiver)
    { receiver.receive_batch(entry, batch, hop_delay); };
    send_message(owner, receive);
}

void turmericlane_instance::receive_batch(
    ordinal entry, search_batch batch, duration hop_delay)
{
    batch.time_left -= hop_delay;
    dispatcher_.on_batch(entry, batch);
    schedule_timers();
}

void turmericlane_instance::send_cancel(ordinal owner, query_id id)
{
    auto receive = [id](turmericlane_instance& receiver)
    {
        receiver.dispatcher_.on_cancel(id);
        receiver.schedule_timers();
    };
    send_message(owner, receive);
}

void turmericlane_instance::finish(const search_answer& answer)
{
    query_numbers_.erase(answer.id);
    context().checker.on_finish(answer, context().events.now());
}

void turmericlane_instance::start_attempt(
    attempt_id id, const backend_request& request)
{
    auto on_complete = [this, id](const backend_reply& reply)
    {
        client_request_ids_.erase(id);
        dispatcher_.on_backend_reply(id, reply);
        schedule_timers();
    };
    client_request_ids_[id] = client().start(request, on_complete);
}

void turmericlane_instance::cancel_attempt(attempt_id id)
{
    auto found = client_request_ids_.find(id);
    if (found != client_request_ids_.end())
        client().cancel(found->second);
}

void turmericlane_instance::reply(ordinal entry, const shard_reply& reply)
{
    auto receive = [reply](turmericlane_instance& receiver)
    { receiver.receive_reply(reply); };
    send_message(entry, receive);
}

void turmericlane_instance::receive_reply(const shard_reply& reply)
{
    auto found = query_numbers_.find(reply.id);
    if (found != query_numbers_.end())
        context().checker.on_entry_reply(found->second, reply);
    coordinator_.on_shard_reply(reply);
    schedule_timers();
}

bool turmericlane_instance::is_usable(ordinal owner) const
{
    return owner < usable_peers_.size() && usable_peers_[owner];
}

void turmericlane_instance::send_message(
    ordinal peer, std::function<void(turmericlane_instance&)> message)
{
    auto* receiver = find_peer_(peer);
    if (receiver == nullptr ||
        !context().network.is_reachable(data_centre(), receiver->data_centre()))
        return;
    auto hop_delay =
        context().network.delay(data_centre(), receiver->data_centre());
    auto deliver_message = [this, receiver,
                            generation = connection_generations_.at(peer),
                            peer_message = std::move(message)]
    {
        receiver->process().deliver(
            [this, receiver, generation, peer_message]
            { receiver->receive_message(*this, generation, peer_message); });
    };
    context().events.schedule_after(hop_delay, deliver_message);
}

void turmericlane_instance::receive_message(
    turmericlane_instance& sender,
    std::uint64_t generation,
    const std::function<void(turmericlane_instance&)>& message)
{
    check_connection(sender.own_ordinal());
    if (generation == connection_generations_.at(sender.own_ordinal()))
    {
        message(*this);
        return;
    }
    // The message was sent on a connection that is now closed, which the sender
    // detects after a hop.
    auto hop_delay =
        context().network.delay(data_centre(), sender.data_centre());
    auto report_closed = [&sender, peer = own_ordinal()]
    {
        sender.process().deliver([&sender, peer]
                                 { sender.check_connection(peer); });
    };
    context().events.schedule_after(hop_delay, report_closed);
}

void turmericlane_instance::schedule_timers()
{
    auto now = context().events.now();
    auto schedule_wakeup =
        [&](time_point wakeup_time, time_point& scheduled_time, auto on_wakeup)
    {
        // A timer that fires too early is harmless: it is scheduled again.
        if (wakeup_time >= scheduled_time)
            return;
        scheduled_time =
            std::max(wakeup_time, now + std::chrono::microseconds(1));
        auto fire =
            [this, on_wakeup, &scheduled_time, fire_time = scheduled_time]
        {
            if (scheduled_time != fire_time)
                return;
            scheduled_time = time_point::max();
            on_wakeup();
            schedule_timers();
        };
        context().events.schedule_at(
            scheduled_time, [this, fire] { process().deliver(fire); });
    };
    schedule_wakeup(
        coordinator_.next_wakeup(), entry_wakeup_,
        [this] { coordinator_.on_timer(); });
    schedule_wakeup(
        dispatcher_.next_wakeup(), owner_wakeup_,
        [this] { dispatcher_.on_timer(); });
}

} // namespace turmericlane::bench
