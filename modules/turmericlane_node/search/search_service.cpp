#include "search_service.h"

namespace turmericlane
{

search_service::search_service(
    const instance_settings& settings,
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
    engine_->run_and_wait(
        [&]
        {
            coordinator_ = std::make_unique<search_coordinator>(
                settings_.index, nonce_, engine_->time_source(), *members,
                *this, this);
            dispatcher_ = std::make_unique<group_dispatcher>(
                nonce_, engine_->time_source(), *this, this);
        });
    backends_->set_listener(*this);
    peers_->subscribe(*this);
    owner.find_as<version_service>("versions")->subscribe(*this);
    engine_->add(*this);
    return std::nullopt;
}

void search_service::stop() {}

bool search_service::search(
    const search_request& request, answer_handler completion_handler)
{
    auto shared_request = std::make_shared<search_request>(request);
    return engine_->post(
        [this, shared_request,
         completion_handler = std::move(completion_handler)]
        { start_search(*shared_request, completion_handler); });
}

void search_service::start_search(
    const search_request& request, const answer_handler& completion_handler)
{
    admission_handler_ = &completion_handler;
    is_admission_refused_ = false;
    const auto id = coordinator_->on_search(request);
    admission_handler_ = nullptr;
    if (!is_admission_refused_)
        answer_handlers_.emplace(id, completion_handler);
}

void search_service::finish(const search_answer& answer)
{
    // A search that is refused at admission has no handler in the map yet.
    const auto position = answer_handlers_.find(answer.id);
    if (position == answer_handlers_.end())
    {
        if (admission_handler_ == nullptr)
            return;
        is_admission_refused_ = true;
        (*admission_handler_)(answer);
        return;
    }
    const auto completion_handler = std::move(position->second);
    answer_handlers_.erase(position);
    completion_handler(answer);
}

std::size_t search_service::in_flight_count() const
{
    return coordinator_->in_flight() + dispatcher_->waiting_count();
}

time_point search_service::on_iteration()
{
    // A delivery may cause further ones. The loop ends because each step makes
    // progress on a bounded number of sub-requests.
    do
        run_timers();
    while (deliver_local_messages());
    send_replies();
    return std::min(coordinator_->next_wakeup(), dispatcher_->next_wakeup());
}

void search_service::run_timers()
{
    const auto now = engine_->time_source().now();
    if (now >= coordinator_->next_wakeup())
        coordinator_->on_timer();
    if (now >= dispatcher_->next_wakeup())
        dispatcher_->on_timer();
}

bool search_service::deliver_local_messages()
{
    const auto batches = std::exchange(local_batches_, {});
    const auto cancels = std::exchange(local_cancels_, {});
    const auto replies = std::exchange(local_replies_, {});
    const auto lost_owners = std::exchange(lost_owners_, {});
    for (const auto& it : batches)
        dispatcher_->on_batch(settings_.index, it);
    for (const auto& it : cancels)
        dispatcher_->on_cancel(it);
    for (const auto& it : replies)
        coordinator_->on_shard_reply(it);
    for (auto it : lost_owners)
        coordinator_->on_owner_lost(it);
    return !batches.empty() || !cancels.empty() || !replies.empty() ||
           !lost_owners.empty();
}

void search_service::send_replies()
{
    for (auto& [entry, entry_replies] : remote_replies_)
    {
        if (!entry_replies.empty())
            peers_->send(entry, std::span<const shard_reply>(entry_replies));
        entry_replies.clear();
    }
}

void search_service::on_pause(duration)
{
    dispatcher_->on_pause_detected();
}

void search_service::on_peer_disconnected(const peer_identity& peer)
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

void search_service::on_bundle(
    const std::shared_ptr<const bundle>& bundle_in_force)
{
    coordinator_->on_bundle(bundle_in_force);
    dispatcher_->on_bundle(bundle_in_force);
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
    backends_->start_attempt(id, request);
}

void search_service::cancel_attempt(attempt_id id)
{
    backends_->cancel_attempt(id);
}

void search_service::reply(ordinal entry, const shard_reply& reply)
{
    if (entry == settings_.index)
        local_replies_.push_back(reply);
    else
        remote_replies_[entry].push_back(reply);
}

void search_service::on_refusal(reason cause, rank request_rank)
{
    counters_.count_refusal(cause, request_rank);
}

void search_service::on_retry(reason cause, rank request_rank)
{
    counters_.count_retry(cause, request_rank);
}

void search_service::on_hedge(rank request_rank)
{
    counters_.count_hedge(request_rank);
}

} // namespace turmericlane
