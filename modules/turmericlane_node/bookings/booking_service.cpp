#include "booking_service.h"

#include "../log/event.h"

#include <nlohmann/json.hpp>

#include <sodium.h>

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

/** Time after its issue in which a ticket can be used. */
constexpr std::chrono::minutes ticket_validity{2};

ticket_issuer::key_type generate_key()
{
    ticket_issuer::key_type key{};
    randombytes_buf(key.data(), key.size());
    return key;
}

} // namespace

booking_service::booking_service(
    const instance_settings& settings,
    std::uint64_t nonce,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , counters_(counters)
{
}

booking_service::~booking_service() = default;

std::optional<std::string> booking_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    peers_ = owner.find_as<peer_service>("peers");
    members_ = owner.find_as<member_service>("members");
    backends_ = owner.find_as<backend_service>("backends");
    engine_->run_and_wait(
        [this]
        {
            const auto& time_source = engine_->time_source();
            issuer_ = std::make_unique<ticket_issuer>(
                settings_.address + ":" + std::to_string(settings_.http_port),
                settings_.index, nonce_, generate_key(), time_source,
                ticket_validity);
            coordinator_ = std::make_unique<booking_coordinator>(
                *issuer_, booking_limits(), time_source, *this, *this);
            executor_ = std::make_unique<booking_executor>(
                nonce_, executor_limits(), time_source, *this);
        });
    peers_->subscribe(*this);
    owner.find_as<version_service>("versions")->subscribe(*this);
    engine_->add(*this);
    return std::nullopt;
}

void booking_service::stop() {}

result<ticket, reason> booking_service::issue_ticket()
{
    auto issued_ticket = coordinator_->issue();
    if (!issued_ticket)
        counters_.count_refusal(issued_ticket.error(), rank::urgent);
    return issued_ticket;
}

std::chrono::milliseconds booking_service::ticket_lifetime() const
{
    return ticket_validity;
}

bool booking_service::book(
    const booking_request& request, answer_handler completion_handler)
{
    auto shared_request = std::make_shared<booking_request>(request);
    return engine_->post(
        [this, shared_request,
         completion_handler = std::move(completion_handler)]
        {
            const auto caller = ++last_caller_id_;
            answer_handlers_.emplace(caller, completion_handler);
            coordinator_->on_booking(caller, *shared_request);
        });
}

void booking_service::start_draining()
{
    coordinator_->start_draining();
    executor_->start_draining();
}

std::size_t booking_service::in_flight_count() const
{
    return coordinator_->in_flight() + executor_->in_flight();
}

time_point booking_service::on_iteration()
{
    const auto now = engine_->time_source().now();
    if (now >= coordinator_->next_wakeup())
        coordinator_->on_timer();
    if (now >= executor_->next_wakeup())
        executor_->on_timer();
    return std::min(coordinator_->next_wakeup(), executor_->next_wakeup());
}

void booking_service::post_task(event_loop::task task)
{
    engine_->post(std::move(task));
}

void booking_service::on_peer_disconnected(const peer_identity& peer)
{
    coordinator_->on_peer_lost(peer.instance, peer.nonce);
}

void booking_service::on_bundle(
    const std::shared_ptr<const bundle>& bundle_in_force)
{
    bundle_ = bundle_in_force;
    owner_map_ = std::make_unique<owner_map>(*bundle_in_force);
}

void booking_service::on_message(
    const message_header& header, const booking_forward_message& message)
{
    auto request = message.request;
    request.deadline = engine_->time_source().now() + message.time_left;
    coordinator_->on_forward(header.sender, header.nonce, message.id, request);
}

void booking_service::on_message(
    const message_header& header, const booking_execute_message& message)
{
    // A peer may only request bookings with tickets that it issued.
    if (message.frame.id.issuer_nonce != header.nonce)
        return counters_.count_dropped_reply(reason::ticket_invalid);
    execute_frame(header.sender, message.frame);
}

void booking_service::on_message(
    const message_header&, const booking_reply_message& message)
{
    if (message.is_forward_reply)
        coordinator_->on_forward_reply(
            message.forward_message_id, message.answer);
    else
        coordinator_->on_execute_reply(message.booking, message.answer);
}

void booking_service::answer(caller_id caller, const booking_answer& answer)
{
    const auto position = answer_handlers_.find(caller);
    if (position == answer_handlers_.end())
        return;
    if (answer.final_verdict.result != outcome::ran)
        counters_.count_refusal(answer.final_verdict.cause, rank::urgent);
    if (answer.final_verdict.result == outcome::may_have_run)
        log_event(
            event::booking_unknown,
            {{"request_id", std::to_string(caller)},
             {"reason", std::string(to_string(answer.final_verdict.cause))}});
    const auto completion_handler = std::move(position->second);
    answer_handlers_.erase(position);
    completion_handler(answer);
}

bool booking_service::send_forward(
    ordinal issuer,
    std::uint64_t issuer_nonce,
    forward_id id,
    const booking_request& request)
{
    if (!is_reachable(issuer, issuer_nonce))
        return false;
    booking_forward_message message;
    message.id = id;
    message.request = request;
    message.time_left = std::max(
        duration::zero(), request.deadline - engine_->time_source().now());
    return peers_->send(issuer, message);
}

void booking_service::reply_forward(
    ordinal entry, std::uint64_t, forward_id id, const booking_answer& answer)
{
    booking_reply_message message;
    message.is_forward_reply = true;
    message.forward_message_id = id;
    message.answer = answer;
    peers_->send(entry, message);
}

bool booking_service::send_execute(
    const booking_owner& owner, const booking_frame& frame)
{
    if (owner.index == settings_.index)
    {
        post_task([this, frame] { execute_frame(settings_.index, frame); });
        return true;
    }
    if (!is_reachable(owner.index, owner.nonce))
        return false;
    return peers_->send(owner.index, booking_execute_message{frame});
}

result<group_id, reason>
booking_service::group_of(std::uint32_t service, std::string_view key) const
{
    using group_result = result<group_id, reason>;
    if (bundle_ == nullptr)
        return group_result::failure(reason::no_bundle);
    const auto* found_service = bundle_->find_service(service);
    if (found_service == nullptr)
        return group_result::failure(reason::unknown_service);
    if (!found_service->bookable)
        return group_result::failure(reason::not_bookable);
    if (found_service->groups.empty())
        return group_result::failure(reason::unknown_group);
    return group_id{service, partition_of(*found_service, key)};
}

std::vector<booking_owner> booking_service::owners_of(group_id group) const
{
    std::vector<booking_owner> usable_owners;
    if (owner_map_ == nullptr)
        return usable_owners;
    for (auto it : owner_map_->candidates(group))
    {
        if (!members_->is_usable(it))
            continue;
        if (it == settings_.index)
            usable_owners.push_back({it, nonce_});
        else if (const auto record = members_->table().find_by_ordinal(it))
            usable_owners.push_back({it, record->nonce});
    }
    return usable_owners;
}

bool booking_service::is_reachable(ordinal index, std::uint64_t nonce) const
{
    if (index == settings_.index)
        return nonce == nonce_;
    const auto record = members_->table().find_by_nonce(nonce);
    return record && record->index == index &&
           record->state != member_state::gone && peers_->is_connected(index);
}

void booking_service::execute_frame(ordinal issuer, const booking_frame& frame)
{
    current_frame_ = &frame;
    executor_->on_frame(issuer, frame);
    current_frame_ = nullptr;
}

void booking_service::connect(const booking_key& id, group_id group)
{
    const auto* group_searchers =
        bundle_ ? bundle_->find_group(group) : nullptr;
    const searcher* chosen_searcher = nullptr;
    if (group_searchers != nullptr)
        for (const auto& it : group_searchers->searchers)
            if (!it.leaving && chosen_searcher == nullptr)
                chosen_searcher = &it;
    // The executor requests a connection only while it handles the frame.
    assert(current_frame_ != nullptr && current_frame_->id == id);
    executions_.try_emplace(id, execution{});
    if (chosen_searcher != nullptr &&
        backends_->submit(chosen_searcher->id, make_job(*current_frame_)))
        return;
    post_task(
        [this, id]
        {
            executions_.erase(id);
            executor_->on_connect_failed(id, reason::no_replica);
        });
}

backend_job booking_service::make_job(const booking_frame& frame)
{
    nlohmann::json body;
    body["service"] = frame.group.service;
    body["partition"] = frame.group.partition;
    body["key"] = frame.key;
    body["payload"] = frame.payload;
    backend_job job;
    job.path = "/book";
    job.request_id = std::to_string(frame.id.issuer_nonce);
    job.request_id.append("-").append(std::to_string(frame.id.serial));
    job.body =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    job.deadline = engine_->time_source().now() + frame.time_left;
    const auto id = frame.id;
    // The connection's thread waits for the loop here, so that nonce, expiry
    // and time are checked immediately before the first byte is sent.
    job.send_condition = [this, id]
    {
        bool is_allowed = false;
        engine_->run_and_wait([&] { is_allowed = permit_sending(id); });
        return is_allowed;
    };
    job.completion_handler = [this, id](const exchange_result& exchange)
    { engine_->post([this, id, exchange] { finish(id, exchange); }); };
    return job;
}

bool booking_service::permit_sending(const booking_key& id)
{
    const auto position = executions_.find(id);
    if (position == executions_.end())
        return false;
    executor_->on_connected(id);
    const auto updated_position = executions_.find(id);
    return updated_position != executions_.end() &&
           updated_position->second.is_permitted;
}

void booking_service::write(const booking_frame& frame, duration)
{
    const auto position = executions_.find(frame.id);
    if (position != executions_.end())
        position->second.is_permitted = true;
}

void booking_service::release(const booking_key& id)
{
    executions_.erase(id);
}

void booking_service::finish(
    const booking_key& id, const exchange_result& exchange)
{
    const auto position = executions_.find(id);
    if (position == executions_.end())
        return;
    const auto is_permitted = position->second.is_permitted;
    executions_.erase(position);
    if (!is_permitted)
        return executor_->on_connect_failed(id, reason::connect_failed);
    if (exchange.status != exchange_status::replied)
        return executor_->on_reply_lost(id);
    constexpr int http_unavailable = 503;
    if (exchange.http_status == http_unavailable)
        return executor_->on_rejected(id, rejection_reason(exchange.body));
    executor_->on_reply(id, exchange.http_status, exchange.body);
}

void booking_service::reply(
    ordinal issuer, const booking_key& id, const booking_answer& answer)
{
    if (issuer == settings_.index)
    {
        post_task([this, id, answer]
                  { coordinator_->on_execute_reply(id, answer); });
        return;
    }
    booking_reply_message message;
    message.booking = id;
    message.answer = answer;
    peers_->send(issuer, message);
}

} // namespace turmericlane
