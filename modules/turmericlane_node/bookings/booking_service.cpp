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

/** How long a caller may keep a ticket before the booking. */
constexpr std::chrono::minutes ticket_validity{2};

ticket_issuer::key_type draw_key()
{
    ticket_issuer::key_type key{};
    randombytes_buf(key.data(), key.size());
    return key;
}

} // namespace

booking_service::booking_service(
    const node_settings& settings,
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
    engine_->call(
        [this]
        {
            const auto& time = engine_->time();
            issuer_ = std::make_unique<ticket_issuer>(
                settings_.address + ":" + std::to_string(settings_.http_port),
                settings_.index, nonce_, draw_key(), time, ticket_validity);
            coordinator_ = std::make_unique<booking_coordinator>(
                *issuer_, booking_limits(), time, *this, *this);
            executor_ = std::make_unique<booking_executor>(
                nonce_, executor_limits(), time, *this);
        });
    peers_->subscribe(*this);
    owner.find_as<version_service>("versions")->subscribe(*this);
    engine_->add(*this);
    return std::nullopt;
}

void booking_service::stop() {}

result<ticket, reason> booking_service::issue()
{
    auto made = coordinator_->issue();
    if (!made)
        counters_.count_refusal(made.error(), rank::urgent);
    return made;
}

std::chrono::milliseconds booking_service::ticket_lifetime() const
{
    return ticket_validity;
}

bool booking_service::book(const booking_request& request, answer_handler done)
{
    auto shared = std::make_shared<booking_request>(request);
    return engine_->post(
        [this, shared, done = std::move(done)]
        {
            const auto caller = ++last_caller_;
            callers_.emplace(caller, done);
            coordinator_->on_booking(caller, *shared);
        });
}

void booking_service::start_draining()
{
    coordinator_->start_draining();
    executor_->start_draining();
}

std::size_t booking_service::in_flight() const
{
    return coordinator_->in_flight() + executor_->in_flight();
}

time_point booking_service::on_turn()
{
    const auto now = engine_->time().now();
    if (now >= coordinator_->next_wakeup())
        coordinator_->on_timer();
    if (now >= executor_->next_wakeup())
        executor_->on_timer();
    return std::min(coordinator_->next_wakeup(), executor_->next_wakeup());
}

void booking_service::later(event_loop::task task)
{
    engine_->post(std::move(task));
}

void booking_service::on_peer_lost(const peer_identity& peer)
{
    coordinator_->on_peer_lost(peer.instance, peer.nonce);
}

void booking_service::on_bundle(const std::shared_ptr<const bundle>& in_force)
{
    bundle_ = in_force;
    owners_ = std::make_unique<owner_map>(*in_force);
}

void booking_service::on_message(
    const message_header& header, const booking_forward_message& message)
{
    auto request = message.request;
    request.deadline = engine_->time().now() + message.time_left;
    coordinator_->on_forward(header.sender, header.nonce, message.id, request);
}

void booking_service::on_message(
    const message_header& header, const booking_execute_message& message)
{
    // A peer may only ask for bookings of its own tickets.
    if (message.frame.id.issuer_nonce != header.nonce)
        return counters_.count_dropped_reply(reason::ticket_invalid);
    execute(header.sender, message.frame);
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
    const auto found = callers_.find(caller);
    if (found == callers_.end())
        return;
    if (answer.final_verdict.result != outcome::ran)
        counters_.count_refusal(answer.final_verdict.cause, rank::urgent);
    if (answer.final_verdict.result == outcome::may_have_run)
        log_event(
            event::booking_unknown,
            {{"request_id", std::to_string(caller)},
             {"reason", std::string(to_string(answer.final_verdict.cause))}});
    const auto done = std::move(found->second);
    callers_.erase(found);
    done(answer);
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
    message.time_left =
        std::max(duration::zero(), request.deadline - engine_->time().now());
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
        later([this, frame] { execute(settings_.index, frame); });
        return true;
    }
    if (!is_reachable(owner.index, owner.nonce))
        return false;
    return peers_->send(owner.index, booking_execute_message{frame});
}

result<group_id, reason>
booking_service::group_of(std::uint32_t service, std::string_view key) const
{
    using failed = result<group_id, reason>;
    if (bundle_ == nullptr)
        return failed::failure(reason::no_bundle);
    const auto* found = bundle_->find_service(service);
    if (found == nullptr)
        return failed::failure(reason::unknown_service);
    if (!found->bookable)
        return failed::failure(reason::not_bookable);
    if (found->groups.empty())
        return failed::failure(reason::unknown_group);
    return group_id{service, partition_of(*found, key)};
}

std::vector<booking_owner> booking_service::owners_of(group_id group) const
{
    std::vector<booking_owner> usable;
    if (owners_ == nullptr)
        return usable;
    for (auto it : owners_->candidates(group))
    {
        if (!members_->is_usable(it))
            continue;
        if (it == settings_.index)
            usable.push_back({it, nonce_});
        else if (const auto found = members_->table().find_by_ordinal(it))
            usable.push_back({it, found->nonce});
    }
    return usable;
}

bool booking_service::is_reachable(ordinal index, std::uint64_t nonce) const
{
    if (index == settings_.index)
        return nonce == nonce_;
    const auto found = members_->table().find_by_nonce(nonce);
    return found && found->index == index &&
           found->state != member_state::gone && peers_->connected(index);
}

void booking_service::execute(ordinal issuer, const booking_frame& frame)
{
    arriving_ = &frame;
    executor_->on_frame(issuer, frame);
    arriving_ = nullptr;
}

void booking_service::connect(const booking_key& id, group_id group)
{
    const auto* found = bundle_ ? bundle_->find_group(group) : nullptr;
    const searcher* chosen = nullptr;
    if (found != nullptr)
        for (const auto& it : found->searchers)
            if (!it.leaving && chosen == nullptr)
                chosen = &it;
    // The executor asks for a connection while the frame arrives.
    assert(arriving_ != nullptr && arriving_->id == id);
    executions_.try_emplace(id, execution{});
    if (chosen != nullptr &&
        backends_->submit(chosen->id, make_job(*arriving_)))
        return;
    later(
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
    job.deadline = engine_->time().now() + frame.time_left;
    const auto id = frame.id;
    // The connection's thread waits for the loop here, so that nonce, expiry
    // and time are checked immediately before the first byte.
    job.send_condition = [this, id]
    {
        bool allowed = false;
        engine_->call([&] { allowed = permit(id); });
        return allowed;
    };
    job.completion_handler = [this, id](const exchange_result& exchange)
    { engine_->post([this, id, exchange] { finish(id, exchange); }); };
    return job;
}

bool booking_service::permit(const booking_key& id)
{
    const auto found = executions_.find(id);
    if (found == executions_.end())
        return false;
    executor_->on_connected(id);
    const auto again = executions_.find(id);
    return again != executions_.end() && again->second.permitted;
}

void booking_service::write(const booking_frame& frame, duration)
{
    const auto found = executions_.find(frame.id);
    if (found != executions_.end())
        found->second.permitted = true;
}

void booking_service::release(const booking_key& id)
{
    executions_.erase(id);
}

void booking_service::finish(
    const booking_key& id, const exchange_result& exchange)
{
    const auto found = executions_.find(id);
    if (found == executions_.end())
        return;
    const auto permitted = found->second.permitted;
    executions_.erase(found);
    if (!permitted)
        return executor_->on_connect_failed(id, reason::connect_failed);
    if (exchange.status != exchange_status::replied)
        return executor_->on_reply_lost(id);
    constexpr int unavailable = 503;
    if (exchange.http_status == unavailable)
        return executor_->on_rejected(id, refusal_reason(exchange.body));
    executor_->on_reply(id, exchange.http_status, exchange.body);
}

void booking_service::reply(
    ordinal issuer, const booking_key& id, const booking_answer& answer)
{
    if (issuer == settings_.index)
    {
        later([this, id, answer]
              { coordinator_->on_execute_reply(id, answer); });
        return;
    }
    booking_reply_message message;
    message.booking = id;
    message.answer = answer;
    peers_->send(issuer, message);
}

} // namespace turmericlane
