#include "booking_world.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericlane::testing
{

namespace
{

// A serial that is raised by a multiple of this is unknown to the owner.
constexpr std::uint64_t disguise = 1'000'000;

std::string describe(const booking_answer& it)
{
    return std::string(to_string(it.state.result)) + '/' +
           std::string(to_string(it.state.why)) + it.body;
}

std::string describe(const booking_world::event& it)
{
    auto text = std::to_string(static_cast<int>(it.what));
    for (auto number :
         {it.from_nonce, it.to_nonce, it.id, it.key.issuer_nonce, it.key.serial,
          it.frame.id.serial, it.frame.owner_nonce, it.request.permit.serial})
        text += ' ' + std::to_string(number);
    return text + it.request.payload + it.frame.payload + describe(it.answer);
}

std::uint64_t hash(const std::string& text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

class booking_world::node final : public booking_actions,
                                  public booking_directory,
                                  public booking_backend
{
public:
    node(booking_world& world, std::size_t index, std::uint64_t nonce)
        : world_(world)
        , index_(index)
        , nonce_(nonce)
        , issuer_(
              "127.0.0.1:80",
              static_cast<ordinal>(index),
              nonce,
              {},
              world.clock_,
              ticket_lifetime)
        , coordinator(issuer_, limits(), world.clock_, *this, *this)
        , executor(nonce, {1000, ticket_lifetime + grace}, world.clock_, *this)
    {
    }

    static booking_limits limits()
    {
        booking_limits made;
        made.grace = grace;
        made.tickets = most_tickets;
        return made;
    }

    void answer(caller_id caller, const booking_answer& answer) override
    {
        world_.calls_.at(caller).answers.push_back(answer);
    }

    bool send_forward(
        ordinal issuer,
        std::uint64_t issuer_nonce,
        forward_id id,
        const booking_request& request) override
    {
        event made = to(kind::forward, issuer, issuer_nonce);
        made.id = id;
        made.request = request;
        world_.push(made);
        return true;
    }

    void reply_forward(
        ordinal entry,
        std::uint64_t entry_nonce,
        forward_id id,
        const booking_answer& answer) override
    {
        event made = to(kind::forward_reply, entry, entry_nonce);
        made.id = id;
        made.answer = answer;
        world_.push(made);
    }

    bool send_execute(
        const booking_owner& owner, const booking_frame& frame) override
    {
        event made = to(kind::execute, owner.index, owner.nonce);
        made.frame = frame;
        made.key = frame.id;
        sent[frame.id.serial] = frame;
        world_.push(made);
        return true;
    }

    result<group_id, reason>
    group_of(std::uint32_t, std::string_view) const override
    {
        return group_id{1, 1};
    }

    /** The last instance is the first candidate, so that the issuer and the
        owner differ. */
    std::vector<booking_owner> owners_of(group_id) const override
    {
        std::vector<booking_owner> made;
        for (auto n = view.size(); n-- > 0;)
            made.push_back({static_cast<ordinal>(n), view[n]});
        return made;
    }

    bool reachable(ordinal index, std::uint64_t nonce) const override
    {
        return view.at(index) == nonce;
    }

    void connect(const booking_key& id, group_id) override
    {
        event made = to(kind::connect, index_, nonce_);
        made.key = id;
        world_.push(made);
    }

    void write(const booking_frame& frame, duration) override
    {
        event made = to(kind::write, index_, nonce_);
        made.key = frame.id;
        made.frame = frame;
        world_.push(made);
    }

    void release(const booking_key&) override {}

    void reply(
        ordinal issuer,
        const booking_key& id,
        const booking_answer& answer) override
    {
        event made = to(kind::execute_reply, issuer, id.issuer_nonce);
        made.key = {id.issuer_nonce, id.serial % disguise};
        made.answer = answer;
        bool lost = answer.state == verdict::unknown(reason::reply_lost);
        if (lost && world_.wrong_ == wrong_variant::not_run_after_loss)
            made.answer.state = verdict::refused(reason::reply_lost);
        world_.push(made);
    }

    void note(const std::string& what)
    {
        history = hash(what, history);
    }

private:
    event to(kind what, std::size_t index, std::uint64_t nonce) const
    {
        event made;
        made.what = what;
        made.from = index_;
        made.from_nonce = nonce_;
        made.to = index;
        made.to_nonce = nonce;
        return made;
    }

    booking_world& world_;
    std::size_t index_;
    std::uint64_t nonce_;
    ticket_issuer issuer_;

public:
    booking_coordinator coordinator;
    booking_executor executor;
    /** Nonces of all instances as this one knows them. */
    std::vector<std::uint64_t> view;
    /** Hash of all events that this process has seen, in order. */
    std::uint64_t history = 0;
    std::map<std::uint64_t, booking_frame> sent;

    std::uint64_t nonce() const
    {
        return nonce_;
    }
};

booking_world::booking_world(std::size_t nodes, wrong_variant wrong)
    : wrong_(wrong)
{
    std::vector<std::uint64_t> view;
    for (std::size_t n = 0; n < nodes; ++n)
    {
        nodes_.push_back(std::make_unique<node>(*this, n, ++last_nonce_));
        view.push_back(last_nonce_);
    }
    for (auto& it : nodes_)
        it->view = view;
}

booking_world::~booking_world() = default;

ticket booking_world::issue(std::size_t node)
{
    return *nodes_.at(node)->coordinator.issue();
}

void booking_world::send(
    std::size_t node, const ticket& permit, std::string_view payload)
{
    event made;
    made.what = kind::booking;
    made.to = node;
    made.to_nonce = nodes_.at(node)->nonce();
    made.id = calls_.size();
    made.request.permit = permit;
    made.request.service = 1;
    made.request.payload = payload;
    made.request.deadline = clock_.now() + request_time;
    booking_key booking{permit.issuer_nonce, permit.serial};
    calls_.push_back({booking, std::string(payload), node, made.to_nonce, {}});
    push(made);
}

void booking_world::deliver(std::size_t n)
{
    auto it = events_.at(n);
    events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(n));
    if (it.what == kind::write)
    {
        // It runs whether or not its sender still lives.
        runs_[{it.key.issuer_nonce, it.key.serial % disguise}].push_back(
            it.frame.payload);
        it.what = kind::backend_reply;
        return push(it);
    }
    auto& at = *nodes_.at(it.to);
    if (it.what == kind::execute && wrong_ == wrong_variant::no_owner_nonce)
        it.frame.owner_nonce = at.nonce();
    // A frame for a process that is gone reaches its successor here, though a
    // session would end with the process: the nonce has to protect.
    if (it.what != kind::execute && it.to_nonce != at.nonce())
        return;
    at.note(
        describe(it) + std::to_string(clock_.now().time_since_epoch().count()));
    switch (it.what)
    {
    case kind::booking:
        return at.coordinator.on_booking(it.id, it.request);
    case kind::forward:
        return at.coordinator.on_forward(
            static_cast<ordinal>(it.from), it.from_nonce, it.id, it.request);
    case kind::forward_reply:
        return at.coordinator.on_forward_reply(it.id, it.answer);
    case kind::execute:
        if (wrong_ == wrong_variant::no_records_at_owner)
            it.frame.id.serial += disguise * ++disguised_;
        return at.executor.on_frame(static_cast<ordinal>(it.from), it.frame);
    case kind::execute_reply:
        return at.coordinator.on_execute_reply(it.key, it.answer);
    case kind::connect:
        return at.executor.on_connected(it.key);
    case kind::backend_reply:
        return at.executor.on_reply(it.key, 200, "done");
    case kind::peer_lost:
        return peer_lost(it.to, it.from, it.from_nonce);
    case kind::write:
        return;
    }
}

void booking_world::drop(std::size_t n)
{
    auto it = events_.at(n);
    events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(n));
    auto& at = *nodes_.at(it.to);
    bool current = it.to_nonce == at.nonce();
    switch (it.what)
    {
    case kind::booking:
    case kind::peer_lost:
        return;
    case kind::connect:
    case kind::write:
    case kind::backend_reply:
        if (!current)
            return;
        at.note("drop" + describe(it));
        if (it.what == kind::connect)
            at.executor.on_connect_failed(it.key, reason::connect_failed);
        else
            at.executor.on_lost(it.key);
        return;
    default:
        if (it.from != it.to && current)
            peer_lost(it.to, it.from, it.from_nonce);
        if (it.from != it.to && nodes_.at(it.from)->nonce() == it.from_nonce)
            peer_lost(it.from, it.to, it.to_nonce);
    }
}

bool booking_world::can_double(std::size_t n) const
{
    switch (events_.at(n).what)
    {
    case kind::forward:
    case kind::forward_reply:
    case kind::execute:
    case kind::execute_reply:
        return true;
    default:
        return false;
    }
}

void booking_world::double_up(std::size_t n)
{
    push(events_.at(n));
}

void booking_world::crash(std::size_t node)
{
    auto old = nodes_.at(node)->nonce();
    auto view = nodes_.at(node)->view;
    nodes_[node] =
        std::make_unique<booking_world::node>(*this, node, ++last_nonce_);
    view[node] = last_nonce_;
    nodes_[node]->view = view;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
    {
        if (n == node)
            continue;
        event made;
        made.what = kind::peer_lost;
        made.from = node;
        made.from_nonce = old;
        made.to = n;
        made.to_nonce = nodes_[n]->nonce();
        push(made);
    }
}

void booking_world::advance(duration span)
{
    clock_.advance(span);
}

void booking_world::timers(std::size_t node)
{
    nodes_.at(node)->note(
        "timer" + std::to_string(clock_.now().time_since_epoch().count()));
    nodes_[node]->coordinator.on_timer();
    nodes_[node]->executor.on_timer();
}

std::string booking_world::violation() const
{
    for (const auto& [key, runs] : runs_)
        if (runs.size() > 1)
            return "a booking ran twice";
    for (const auto& it : calls_)
    {
        if (it.answers.size() > 1)
            return "a call was answered twice";
        auto found = runs_.find(it.booking);
        bool ran = found != runs_.end();
        bool same = ran && found->second.front() == it.payload;
        for (const auto& answer : it.answers)
        {
            if (answer.state.result == outcome::not_run && ran)
                return "not_run was said about a booking that ran";
            if (answer.state.result == outcome::ran && !same)
                return "ran was said about a booking that did not run";
        }
    }
    return {};
}

std::uint64_t booking_world::fingerprint() const
{
    std::vector<std::string> parts;
    for (const auto& it : events_)
        parts.push_back(describe(it));
    std::sort(parts.begin(), parts.end());
    for (const auto& it : nodes_)
        parts.push_back(
            std::to_string(it->nonce()) + ' ' + std::to_string(it->history));
    for (const auto& it : calls_)
        parts.push_back(
            std::to_string(it.node) + it.payload +
            (it.answers.empty() ? "" : describe(it.answers.front())));
    parts.push_back(std::to_string(runs()));
    parts.push_back(std::to_string(clock_.now().time_since_epoch().count()));
    std::uint64_t made = 0;
    for (const auto& it : parts)
        made = hash(it, made);
    return made;
}

std::size_t booking_world::runs() const
{
    std::size_t n = 0;
    for (const auto& [key, it] : runs_)
        n += it.size();
    return n;
}

bool booking_world::alive(const call& it) const
{
    return nodes_.at(it.node)->nonce() == it.nonce;
}

booking_coordinator& booking_world::coordinator(std::size_t node)
{
    return nodes_.at(node)->coordinator;
}

booking_executor& booking_world::executor(std::size_t node)
{
    return nodes_.at(node)->executor;
}

void booking_world::push(event made)
{
    events_.push_back(std::move(made));
}

void booking_world::peer_lost(
    std::size_t at, std::size_t peer, std::uint64_t nonce)
{
    auto& it = *nodes_.at(at);
    it.note("lost" + std::to_string(nonce));
    it.view.at(peer) = nodes_.at(peer)->nonce();
    if (wrong_ != wrong_variant::retry_after_lost_reply)
        return it.coordinator.on_peer_lost(static_cast<ordinal>(peer), nonce);
    for (const auto& [serial, frame] : it.sent)
    {
        if (frame.owner_nonce != nonce)
            continue;
        auto copy = frame;
        copy.owner_nonce = it.nonce();
        event made;
        made.what = kind::execute;
        made.from = made.to = at;
        made.from_nonce = made.to_nonce = it.nonce();
        made.frame = copy;
        made.key = copy.id;
        push(made);
    }
    it.sent.clear();
}

} // namespace turmericlane::testing
