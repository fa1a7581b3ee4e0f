#include "booking_simulation.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericlane::testing
{

namespace
{

// Added to the serial of a frame, so that the owner finds no record of it.
constexpr std::uint64_t serial_offset = 1'000'000;

std::string describe(const booking_answer& answer)
{
    return std::string(to_string(answer.final_verdict.result)) + '/' +
           std::string(to_string(answer.final_verdict.cause)) + answer.body;
}

std::string describe(const booking_simulation::event& it)
{
    auto text = std::to_string(static_cast<int>(it.kind));
    for (auto number :
         {it.sender_nonce, it.receiver_nonce, it.id, it.key.issuer_nonce,
          it.key.serial, it.frame.id.serial, it.frame.owner_nonce,
          it.request.booking_ticket.serial})
        text += ' ' + std::to_string(number);
    return text + it.request.payload + it.frame.payload + describe(it.answer);
}

std::uint64_t hash(const std::string& text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

class booking_simulation::instance final : public booking_actions,
                                           public booking_directory,
                                           public booking_backend
{
public:
    instance(
        booking_simulation& simulation, std::size_t index, std::uint64_t nonce)
        : simulation_(simulation)
        , index_(index)
        , nonce_(nonce)
        , issuer_(
              "127.0.0.1:80",
              static_cast<ordinal>(index),
              nonce,
              {},
              simulation.clock_,
              ticket_lifetime)
        , coordinator(issuer_, make_limits(), simulation.clock_, *this, *this)
        , executor(
              nonce,
              {1000, ticket_lifetime + grace_period},
              simulation.clock_,
              *this)
    {
    }

    static booking_limits make_limits()
    {
        booking_limits limits;
        limits.grace_period = grace_period;
        limits.max_tickets = max_tickets;
        return limits;
    }

    void answer(caller_id caller, const booking_answer& answer) override
    {
        simulation_.calls_.at(caller).answers.push_back(answer);
    }

    bool send_forward(
        ordinal issuer,
        std::uint64_t issuer_nonce,
        forward_id id,
        const booking_request& request) override
    {
        event message = make_event(event_kind::forward, issuer, issuer_nonce);
        message.id = id;
        message.request = request;
        simulation_.add_event(message);
        return true;
    }

    void reply_forward(
        ordinal entry,
        std::uint64_t entry_nonce,
        forward_id id,
        const booking_answer& answer) override
    {
        event message =
            make_event(event_kind::forward_reply, entry, entry_nonce);
        message.id = id;
        message.answer = answer;
        simulation_.add_event(message);
    }

    bool send_execute(
        const booking_owner& owner, const booking_frame& frame) override
    {
        event message =
            make_event(event_kind::execute, owner.index, owner.nonce);
        message.frame = frame;
        message.key = frame.id;
        sent_frames[frame.id.serial] = frame;
        simulation_.add_event(message);
        return true;
    }

    result<group_id, reason>
    group_of(std::uint32_t, std::string_view) const override
    {
        return group_id{1, 1};
    }

    /** Returns the last instance as the first candidate, so that the issuer and
        the owner differ. */
    std::vector<booking_owner> owners_of(group_id) const override
    {
        std::vector<booking_owner> owners;
        for (auto n = known_nonces.size(); n-- > 0;)
            owners.push_back({static_cast<ordinal>(n), known_nonces[n]});
        return owners;
    }

    bool is_reachable(ordinal index, std::uint64_t nonce) const override
    {
        return known_nonces.at(index) == nonce;
    }

    void connect(const booking_key& id, group_id) override
    {
        event message = make_event(event_kind::connect, index_, nonce_);
        message.key = id;
        simulation_.add_event(message);
    }

    void write(const booking_frame& frame, duration) override
    {
        event message = make_event(event_kind::write, index_, nonce_);
        message.key = frame.id;
        message.frame = frame;
        simulation_.add_event(message);
    }

    void release(const booking_key&) override {}

    void reply(
        ordinal issuer,
        const booking_key& id,
        const booking_answer& answer) override
    {
        event message =
            make_event(event_kind::execute_reply, issuer, id.issuer_nonce);
        message.key = {id.issuer_nonce, id.serial % serial_offset};
        message.answer = answer;
        bool is_reply_lost =
            answer.final_verdict == verdict::unknown(reason::reply_lost);
        if (is_reply_lost &&
            simulation_.fault_ == injected_fault::not_run_after_lost_reply)
            message.answer.final_verdict = verdict::refused(reason::reply_lost);
        simulation_.add_event(message);
    }

    void record_event(const std::string& description)
    {
        history_hash = hash(description, history_hash);
    }

private:
    event make_event(
        event_kind kind,
        std::size_t receiver,
        std::uint64_t receiver_nonce) const
    {
        event new_event;
        new_event.kind = kind;
        new_event.sender = index_;
        new_event.sender_nonce = nonce_;
        new_event.receiver = receiver;
        new_event.receiver_nonce = receiver_nonce;
        return new_event;
    }

    booking_simulation& simulation_;
    std::size_t index_;
    std::uint64_t nonce_;
    ticket_issuer issuer_;

public:
    booking_coordinator coordinator;
    booking_executor executor;
    /** Nonces of all instances as far as this one knows them. */
    std::vector<std::uint64_t> known_nonces;
    /** Hash of all events of this process, in order. */
    std::uint64_t history_hash = 0;
    std::map<std::uint64_t, booking_frame> sent_frames;

    std::uint64_t nonce() const
    {
        return nonce_;
    }
};

booking_simulation::booking_simulation(
    std::size_t instance_count, injected_fault fault)
    : fault_(fault)
{
    std::vector<std::uint64_t> nonces;
    for (std::size_t n = 0; n < instance_count; ++n)
    {
        instances_.push_back(
            std::make_unique<instance>(*this, n, ++last_nonce_));
        nonces.push_back(last_nonce_);
    }
    for (auto& it : instances_)
        it->known_nonces = nonces;
}

booking_simulation::~booking_simulation() = default;

ticket booking_simulation::issue(std::size_t index)
{
    return *instances_.at(index)->coordinator.issue();
}

void booking_simulation::send(
    std::size_t entry, const ticket& booking_ticket, std::string_view payload)
{
    event message;
    message.kind = event_kind::booking;
    message.receiver = entry;
    message.receiver_nonce = instances_.at(entry)->nonce();
    message.id = calls_.size();
    message.request.booking_ticket = booking_ticket;
    message.request.service = 1;
    message.request.payload = payload;
    message.request.deadline = clock_.now() + request_timeout;
    booking_key booking{booking_ticket.issuer_nonce, booking_ticket.serial};
    calls_.push_back(
        {booking, std::string(payload), entry, message.receiver_nonce, {}});
    add_event(message);
}

void booking_simulation::deliver(std::size_t position)
{
    auto it = events_.at(position);
    events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(position));
    if (it.kind == event_kind::write)
    {
        // The request runs even if its sender has ended.
        executions_[{it.key.issuer_nonce, it.key.serial % serial_offset}]
            .push_back(it.frame.payload);
        it.kind = event_kind::backend_reply;
        return add_event(it);
    }
    auto& receiver = *instances_.at(it.receiver);
    if (it.kind == event_kind::execute &&
        fault_ == injected_fault::unchecked_owner_nonce)
        it.frame.owner_nonce = receiver.nonce();
    // A frame for a process that has ended is delivered to its successor, which
    // a real session would prevent. This tests the check of the nonce alone.
    if (it.kind != event_kind::execute && it.receiver_nonce != receiver.nonce())
        return;
    receiver.record_event(
        describe(it) + std::to_string(clock_.now().time_since_epoch().count()));
    switch (it.kind)
    {
    case event_kind::booking:
        return receiver.coordinator.on_booking(it.id, it.request);
    case event_kind::forward:
        return receiver.coordinator.on_forward(
            static_cast<ordinal>(it.sender), it.sender_nonce, it.id,
            it.request);
    case event_kind::forward_reply:
        return receiver.coordinator.on_forward_reply(it.id, it.answer);
    case event_kind::execute:
        if (fault_ == injected_fault::owner_without_records)
            it.frame.id.serial += serial_offset * ++offset_count_;
        return receiver.executor.on_frame(
            static_cast<ordinal>(it.sender), it.frame);
    case event_kind::execute_reply:
        return receiver.coordinator.on_execute_reply(it.key, it.answer);
    case event_kind::connect:
        return receiver.executor.on_connected(it.key);
    case event_kind::backend_reply:
        return receiver.executor.on_reply(it.key, 200, "done");
    case event_kind::peer_lost:
        return report_peer_lost(it.receiver, it.sender, it.sender_nonce);
    case event_kind::write:
        return;
    }
}

void booking_simulation::drop(std::size_t position)
{
    auto it = events_.at(position);
    events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(position));
    auto& receiver = *instances_.at(it.receiver);
    bool is_receiver_running = it.receiver_nonce == receiver.nonce();
    switch (it.kind)
    {
    case event_kind::booking:
    case event_kind::peer_lost:
        return;
    case event_kind::connect:
    case event_kind::write:
    case event_kind::backend_reply:
        if (!is_receiver_running)
            return;
        receiver.record_event("drop" + describe(it));
        if (it.kind == event_kind::connect)
            receiver.executor.on_connect_failed(it.key, reason::connect_failed);
        else
            receiver.executor.on_reply_lost(it.key);
        return;
    default:
        if (it.sender != it.receiver && is_receiver_running)
            report_peer_lost(it.receiver, it.sender, it.sender_nonce);
        if (it.sender != it.receiver &&
            instances_.at(it.sender)->nonce() == it.sender_nonce)
            report_peer_lost(it.sender, it.receiver, it.receiver_nonce);
    }
}

bool booking_simulation::can_duplicate(std::size_t position) const
{
    switch (events_.at(position).kind)
    {
    case event_kind::forward:
    case event_kind::forward_reply:
    case event_kind::execute:
    case event_kind::execute_reply:
        return true;
    default:
        return false;
    }
}

void booking_simulation::duplicate(std::size_t position)
{
    add_event(events_.at(position));
}

void booking_simulation::crash(std::size_t index)
{
    auto old_nonce = instances_.at(index)->nonce();
    auto nonces = instances_.at(index)->known_nonces;
    instances_[index] = std::make_unique<booking_simulation::instance>(
        *this, index, ++last_nonce_);
    nonces[index] = last_nonce_;
    instances_[index]->known_nonces = nonces;
    for (std::size_t n = 0; n < instances_.size(); ++n)
    {
        if (n == index)
            continue;
        event loss;
        loss.kind = event_kind::peer_lost;
        loss.sender = index;
        loss.sender_nonce = old_nonce;
        loss.receiver = n;
        loss.receiver_nonce = instances_[n]->nonce();
        add_event(loss);
    }
}

void booking_simulation::advance(duration span)
{
    clock_.advance(span);
}

void booking_simulation::run_timers(std::size_t index)
{
    instances_.at(index)->record_event(
        "timer" + std::to_string(clock_.now().time_since_epoch().count()));
    instances_[index]->coordinator.on_timer();
    instances_[index]->executor.on_timer();
}

std::string booking_simulation::violation() const
{
    for (const auto& [key, payloads] : executions_)
        if (payloads.size() > 1)
            return "a booking ran twice";
    for (const auto& it : calls_)
    {
        if (it.answers.size() > 1)
            return "a call was answered twice";
        auto execution = executions_.find(it.booking);
        bool has_run = execution != executions_.end();
        bool is_payload_equal =
            has_run && execution->second.front() == it.payload;
        for (const auto& answer : it.answers)
        {
            if (answer.final_verdict.result == outcome::not_run && has_run)
                return "not_run was answered for a booking that ran";
            if (answer.final_verdict.result == outcome::ran &&
                !is_payload_equal)
                return "ran was answered for a booking that did not run";
        }
    }
    return {};
}

std::uint64_t booking_simulation::fingerprint() const
{
    std::vector<std::string> parts;
    for (const auto& it : events_)
        parts.push_back(describe(it));
    std::sort(parts.begin(), parts.end());
    for (const auto& it : instances_)
        parts.push_back(
            std::to_string(it->nonce()) + ' ' +
            std::to_string(it->history_hash));
    for (const auto& it : calls_)
        parts.push_back(
            std::to_string(it.entry) + it.payload +
            (it.answers.empty() ? "" : describe(it.answers.front())));
    parts.push_back(std::to_string(execution_count()));
    parts.push_back(std::to_string(clock_.now().time_since_epoch().count()));
    std::uint64_t state_hash = 0;
    for (const auto& it : parts)
        state_hash = hash(it, state_hash);
    return state_hash;
}

std::size_t booking_simulation::execution_count() const
{
    std::size_t count = 0;
    for (const auto& [key, it] : executions_)
        count += it.size();
    return count;
}

bool booking_simulation::is_entry_running(const call& it) const
{
    return instances_.at(it.entry)->nonce() == it.entry_nonce;
}

booking_coordinator& booking_simulation::coordinator(std::size_t index)
{
    return instances_.at(index)->coordinator;
}

booking_executor& booking_simulation::executor(std::size_t index)
{
    return instances_.at(index)->executor;
}

void booking_simulation::add_event(event added_event)
{
    events_.push_back(std::move(added_event));
}

void booking_simulation::report_peer_lost(
    std::size_t index, std::size_t peer, std::uint64_t peer_nonce)
{
    auto& it = *instances_.at(index);
    it.record_event("lost" + std::to_string(peer_nonce));
    it.known_nonces.at(peer) = instances_.at(peer)->nonce();
    if (fault_ != injected_fault::retry_after_lost_reply)
        return it.coordinator.on_peer_lost(
            static_cast<ordinal>(peer), peer_nonce);
    for (const auto& [serial, frame] : it.sent_frames)
    {
        if (frame.owner_nonce != peer_nonce)
            continue;
        auto repeated_frame = frame;
        repeated_frame.owner_nonce = it.nonce();
        event message;
        message.kind = event_kind::execute;
        message.sender = message.receiver = index;
        message.sender_nonce = message.receiver_nonce = it.nonce();
        message.frame = repeated_frame;
        message.key = repeated_frame.id;
        add_event(message);
    }
    it.sent_frames.clear();
}

} // namespace turmericlane::testing
