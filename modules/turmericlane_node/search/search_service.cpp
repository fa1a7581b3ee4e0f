#include "search_service.h"

namespace turmericlane
{

search_service::search_service(
    const node_settings& settings,
    std::uint64_t nonce,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , counters_(counters)
{
}

search_service::~search_service() = default;

std::optional<std::string> search_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    peers_ = owner.find_as<peer_service>("peers");
    backends_ = owner.find_as<backend_service>("backends");
    const auto members = owner.find_as<member_service>("members");
    engine_->call(
        [&]
        {
            coordinator_ = std::make_unique<search_coordinator>(
                settings_.index, nonce_, engine_->time(), *members, *this,
                this);
            dispatcher_ = std::make_unique<group_dispatcher>(
                nonce_, engine_->time(), *this, this);
        });
    backends_->set_listener(*this);
    peers_->subscribe(*this);
    owner.find_as<version_service>("versions")->subscribe(*this);
    engine_->add(*this);
    return std::nullopt;
}

void search_service::stop() {}

bool search_service::search(const search_request& request, answer_handler done)
{
    auto shared = std::make_shared<search_request>(request);
    return engine_->post([this, shared, done = std::move(done)]
                         { start_search(*shared, done); });
}

void search_service::start_search(
    const search_request& request, const answer_handler& done)
{
    admitting_ = &done;
    admission_refused_ = false;
    const auto id = coordinator_->on_search(request);
    admitting_ = nullptr;
    if (!admission_refused_)
        waiting_.emplace(id, done);
}

void search_service::finish(const search_answer& answer)
{
    // A refusal at admission comes before the search has an entry.
    const auto found = waiting_.find(answer.id);
    if (found == waiting_.end())
    {
        if (admitting_ == nullptr)
            return;
        admission_refused_ = true;
        (*admitting_)(answer);
        return;
    }
    const auto done = std::move(found->second);
    waiting_.erase(found);
    done(answer);
}

std::size_t search_service::in_flight() const
{
    return coordinator_->in_flight() + dispatcher_->waiting_count();
}

time_point search_service::on_turn()
{
    // Deliveries lead to further ones; each step makes progress on a bounded
    // number of parts.
    do
        run_timers();
    while (deliver_local());
    send_replies();
    return std::min(coordinator_->next_wakeup(), dispatcher_->next_wakeup());
}

void search_service::run_timers()
{
    const auto now = engine_->time().now();
    if (now >= coordinator_->next_wakeup())
        coordinator_->on_timer();
    if (now >= dispatcher_->next_wakeup())
        dispatcher_->on_timer();
}

bool search_service::deliver_local()
{
    const auto batches = std::exchange(local_batches_, {});
    const auto cancels = std::exchange(local_cancels_, {});
    const auto replies = std::exchange(local_replies_, {});
    const auto lost = std::exchange(lost_owners_, {});
    for (const auto& it : batches)
        dispatcher_->on_batch(settings_.index, it);
    for (const auto& it : cancels)
        dispatcher_->on_cancel(it);
    for (const auto& it : replies)
        coordinator_->on_shard_reply(it);
    for (auto it : lost)
        coordinator_->on_owner_lost(it);
    return !batches.empty() || !cancels.empty() || !replies.empty() ||
           !lost.empty();
}

void search_service::send_replies()
{
    for (auto& [entry, list] : replies_)
    {
        if (!list.empty())
            peers_->send(entry, std::span<const shard_reply>(list));
        list.clear();
    }
}

void search_service::on_pause(duration)
{
    dispatcher_->on_pause_detected();
}

void search_service::on_peer_lost(const peer_identity& peer)
{
    coordinator_->on_owner_lost(peer.instance);
    dispatcher_->on_entry_lost(peer.instance);
}

void search_service::on_message(
    const message_header& header, const search_batch& message)
{
    dispatcher_->on_batch(header.sender, message);
}

void search_service::on_message(
    const message_header&, const shard_reply_batch& message)
{
    for (const auto& it : message.replies)
        coordinator_->on_shard_reply(it);
}

void search_service::on_message(
    const message_header&, const cancel_message& message)
{
    dispatcher_->on_cancel(message.id);
}

void search_service::on_bundle(const std::shared_ptr<const bundle>& in_force)
{
    coordinator_->on_bundle(in_force);
    dispatcher_->on_bundle(in_force);
}

void search_service::on_backend_reply(attempt_id id, backend_reply&& reply)
{
    dispatcher_->on_backend_reply(id, std::move(reply));
}

void search_service::on_load_report(const load_report& report)
{
    dispatcher_->on_load_report(report);
}

void search_service::send_batch(ordinal owner, const search_batch& batch)
{
    if (owner == settings_.index)
        local_batches_.push_back(batch);
    else if (!peers_->send(owner, batch))
        lost_owners_.push_back(owner);
}

void search_service::send_cancel(ordinal owner, query_id id)
{
    if (owner == settings_.index)
        local_cancels_.push_back(id);
    else
        peers_->send(owner, cancel_message{id});
}

void search_service::start_attempt(
    attempt_id id, const backend_request& request)
{
    backends_->search(id, request);
}

void search_service::cancel_attempt(attempt_id id)
{
    backends_->cancel(id);
}

void search_service::reply(ordinal entry, const shard_reply& reply)
{
    if (entry == settings_.index)
        local_replies_.push_back(reply);
    else
        replies_[entry].push_back(reply);
}

void search_service::on_refusal(reason why, rank work)
{
    counters_.count_refusal(why, work);
}

void search_service::on_retry(reason why, rank work)
{
    counters_.count_retry(why, work);
}

void search_service::on_hedge(rank work)
{
    counters_.count_hedge(work);
}

} // namespace turmericlane
