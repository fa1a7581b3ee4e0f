#include "booking_coordinator.h"

#include <algorithm>
#include <map>
#include <set>
#include <sodium.h>
#include <utility>

namespace turmericlane
{

namespace
{

using digest = std::array<unsigned char, 32>;

void add(crypto_generichash_state& state, std::string_view text)
{
    crypto_generichash_update(
        &state, reinterpret_cast<const unsigned char*>(text.data()),
        text.size());
}

/** Covers what the backend server would execute; deadline and rank may differ
    between repeats. */
digest digest_of(const booking_request& request)
{
    crypto_generichash_state state;
    digest made;
    crypto_generichash_init(&state, nullptr, 0, made.size());
    add(state, std::to_string(request.service) + ' ');
    add(state, std::to_string(request.key.size()) + ' ');
    add(state, request.key);
    add(state, request.payload);
    crypto_generichash_final(&state, made.data(), made.size());
    return made;
}

booking_answer may_have_run(reason why)
{
    return {verdict::unknown(why), 0, {}};
}

booking_answer not_run(reason why)
{
    return {verdict::refused(why), 0, {}};
}

} // namespace

class booking_coordinator::implementation
{
public:
    enum class ticket_state : std::uint8_t
    {
        issued,
        sending,
        finished,
        unknown
    };

    /** Who asked: a caller of this instance, or an entry that forwarded. */
    struct requester
    {
        bool remote = false;
        caller_id caller = 0;
        ordinal entry = 0;
        std::uint64_t entry_nonce = 0;
        forward_id forward = 0;
    };

    struct waiter
    {
        requester who;
        time_point deadline;
    };

    struct record
    {
        ticket_state state = ticket_state::issued;
        digest content{};
        time_point expiry;
        booking_owner owner;
        booking_answer answer;
        std::vector<waiter> waiting;
    };

    struct forward
    {
        caller_id caller = 0;
        ordinal issuer = 0;
        std::uint64_t issuer_nonce = 0;
        time_point deadline;
    };

    implementation(
        ticket_issuer& issuer,
        const booking_limits& limits,
        const clock& time,
        const booking_directory& directory,
        booking_actions& actions)
        : issuer_(issuer)
        , limits_(limits)
        , clock_(time)
        , directory_(directory)
        , actions_(actions)
    {
    }

    result<ticket, reason> issue()
    {
        drop_records(clock_.now());
        if (draining_)
            return result<ticket, reason>::failure(reason::instance_leaving);
        if (records_.size() >= limits_.tickets)
            return result<ticket, reason>::failure(reason::ticket_table_full);
        auto made = issuer_.issue();
        records_[made.serial].expiry = issuer_.expiry(made);
        return made;
    }

    void on_request(const requester& who, const booking_request& request)
    {
        if (request.permit.issuer_nonce != issuer_.nonce())
            return forward_to_issuer(who, request);
        if (!issuer_.authentic(request.permit))
            return answer(who, not_run(reason::ticket_invalid));
        auto it = records_.find(request.permit.serial);
        if (it == records_.end())
            return answer(who, may_have_run(reason::ticket_forgotten));
        if (it->second.state == ticket_state::issued)
            return send_first(it->first, it->second, who, request);
        repeat(it->first, it->second, who, request);
    }

    void on_caller_gone(caller_id caller)
    {
        std::erase_if(
            forwards_,
            [&](const auto& it) { return it.second.caller == caller; });
        remove_waiters([&](const requester& who)
                       { return !who.remote && who.caller == caller; });
    }

    void on_forward_reply(forward_id id, const booking_answer& answer)
    {
        auto it = forwards_.find(id);
        if (it == forwards_.end())
            return;
        auto caller = it->second.caller;
        forwards_.erase(it);
        actions_.answer(caller, answer);
    }

    void on_execute_reply(const booking_key& id, const booking_answer& answer)
    {
        if (id.issuer_nonce != issuer_.nonce())
            return;
        auto it = records_.find(id.serial);
        if (it == records_.end())
            return;
        bool open = it->second.state == ticket_state::sending ||
                    it->second.state == ticket_state::unknown;
        if (open)
            settle(it->first, it->second, answer);
    }

    void on_peer_lost(ordinal index, std::uint64_t nonce)
    {
        remove_waiters([&](const requester& who)
                       { return who.remote && who.entry_nonce == nonce; });
        auto open = sending_;
        for (auto serial : open)
        {
            auto& it = records_.at(serial);
            if (it.owner == booking_owner{index, nonce})
                settle(serial, it, may_have_run(reason::reply_lost));
        }
        std::vector<forward_id> lost;
        for (const auto& [id, it] : forwards_)
            if (it.issuer_nonce == nonce)
                lost.push_back(id);
        for (auto id : lost)
            on_forward_reply(id, may_have_run(reason::reply_lost));
    }

    void start_draining()
    {
        draining_ = true;
    }

    void on_timer()
    {
        auto now = clock_.now();
        answer_late_waiters(now);
        std::vector<forward_id> late;
        for (const auto& [id, it] : forwards_)
            if (it.deadline <= now)
                late.push_back(id);
        for (auto id : late)
            on_forward_reply(id, may_have_run(reason::deadline_reached));
        drop_records(now);
    }

    time_point next_wakeup() const
    {
        auto soonest = time_point::max();
        if (!records_.empty())
            soonest = drop_time(records_.begin()->second);
        for (const auto& [id, it] : forwards_)
            soonest = std::min(soonest, it.deadline);
        for (auto serial : sending_)
            for (const auto& it : records_.at(serial).waiting)
                soonest = std::min(soonest, it.deadline);
        return soonest;
    }

    std::size_t tickets() const
    {
        return records_.size();
    }

    std::size_t in_flight() const
    {
        auto n = forwards_.size();
        for (auto serial : sending_)
            n += records_.at(serial).waiting.size();
        return n;
    }

private:
    void answer(const requester& who, const booking_answer& value)
    {
        if (who.remote)
            actions_.reply_forward(
                who.entry, who.entry_nonce, who.forward, value);
        else
            actions_.answer(who.caller, value);
    }

    void forward_to_issuer(const requester& who, const booking_request& request)
    {
        const auto& permit = request.permit;
        // An earlier request may have run through another entry, so that
        // nothing here may be answered with not_run.
        if (who.remote || permit.issuer == issuer_.self() ||
            !directory_.reachable(permit.issuer, permit.issuer_nonce))
            return answer(who, may_have_run(reason::issuer_gone));
        if (request.deadline <= clock_.now())
            return answer(who, may_have_run(reason::deadline_past));
        if (forwards_.size() >= limits_.forwards)
            return answer(who, may_have_run(reason::queue_full));
        auto id = ++last_forward_;
        bool sent = actions_.send_forward(
            permit.issuer, permit.issuer_nonce, id, request);
        if (!sent)
            return answer(who, may_have_run(reason::issuer_gone));
        forwards_[id] = {
            who.caller, permit.issuer, permit.issuer_nonce, request.deadline};
    }

    void repeat(
        [[maybe_unused]] std::uint64_t serial,
        record& known,
        const requester& who,
        const booking_request& request)
    {
        if (known.content != digest_of(request))
        {
            auto state = known.answer.state;
            bool unsent = known.state == ticket_state::finished &&
                          state.result == outcome::not_run;
            state = unsent ? verdict::refused(reason::ticket_reused)
                           : verdict::unknown(reason::ticket_reused);
            return answer(who, {state, 0, {}});
        }
        if (known.state != ticket_state::sending)
            return answer(who, known.answer);
        if (request.deadline <= clock_.now())
            return answer(who, may_have_run(reason::deadline_past));
        if (known.waiting.size() >= limits_.waiting_per_ticket)
            return answer(who, may_have_run(reason::queue_full));
        assert(sending_.contains(serial));
        known.waiting.push_back({who, request.deadline});
    }

    void send_first(
        std::uint64_t serial,
        record& fresh,
        const requester& who,
        const booking_request& request)
    {
        assert(fresh.state == ticket_state::issued);
        fresh.content = digest_of(request);
        auto why = try_owners(serial, fresh, request);
        if (why == reason::none)
        {
            fresh.waiting.push_back({who, request.deadline});
            return;
        }
        settle(serial, fresh, not_run(why));
        answer(who, fresh.answer);
    }

    /** Returns none if the frame was handed to an owner's session. */
    reason try_owners(
        std::uint64_t serial, record& fresh, const booking_request& request)
    {
        if (draining_)
            return reason::instance_leaving;
        auto group = directory_.group_of(request.service, request.key);
        if (!group)
            return group.error();
        booking_frame frame;
        frame.id = {issuer_.nonce(), serial};
        frame.group = *group;
        frame.key = request.key;
        frame.payload = request.payload;
        frame.work = request.work;
        for (const auto& it : directory_.owners_of(*group))
        {
            // The time is read for each attempt, since the process may have
            // been paused since the request arrived.
            auto now = clock_.now();
            if (fresh.expiry <= now)
                return reason::ticket_expired;
            if (request.deadline <= now)
                return reason::deadline_past;
            frame.owner_nonce = it.nonce;
            frame.time_left = std::min(fresh.expiry, request.deadline) - now;
            if (!actions_.send_execute(it, frame))
                continue;
            fresh.state = ticket_state::sending;
            fresh.owner = it;
            sending_.insert(serial);
            return reason::none;
        }
        return reason::no_owner;
    }

    void settle(std::uint64_t serial, record& open, const booking_answer& value)
    {
        bool known = value.state.result != outcome::may_have_run;
        if (open.state == ticket_state::unknown && !known)
            return;
        open.state = known ? ticket_state::finished : ticket_state::unknown;
        open.answer = value;
        sending_.erase(serial);
        for (const auto& it : std::exchange(open.waiting, {}))
            answer(it.who, open.answer);
    }

    template <class Predicate>
    void remove_waiters(Predicate gone)
    {
        for (auto serial : sending_)
            std::erase_if(
                records_.at(serial).waiting,
                [&](const waiter& it) { return gone(it.who); });
    }

    void answer_late_waiters(time_point now)
    {
        for (auto serial : sending_)
        {
            auto& waiting = records_.at(serial).waiting;
            auto late = std::stable_partition(
                waiting.begin(), waiting.end(),
                [&](const waiter& it) { return it.deadline > now; });
            std::vector<waiter> answered(late, waiting.end());
            waiting.erase(late, waiting.end());
            for (const auto& it : answered)
                answer(it.who, may_have_run(reason::deadline_reached));
        }
    }

    time_point drop_time(const record& it) const
    {
        return it.expiry + limits_.grace;
    }

    /** Serials follow the order of expiry, so that only the front is old. */
    void drop_records(time_point now)
    {
        while (!records_.empty())
        {
            auto it = records_.begin();
            if (drop_time(it->second) > now)
                return;
            for (const auto& late : it->second.waiting)
                answer(late.who, may_have_run(reason::reply_lost));
            sending_.erase(it->first);
            records_.erase(it);
        }
    }

    ticket_issuer& issuer_;
    booking_limits limits_;
    const clock& clock_;
    const booking_directory& directory_;
    booking_actions& actions_;
    std::map<std::uint64_t, record> records_;
    /** Serials in state sending. */
    std::set<std::uint64_t> sending_;
    std::map<forward_id, forward> forwards_;
    forward_id last_forward_ = 0;
    bool draining_ = false;
};

booking_coordinator::booking_coordinator(
    ticket_issuer& issuer,
    const booking_limits& limits,
    const clock& time,
    const booking_directory& directory,
    booking_actions& actions)
    : implementation_(std::make_unique<implementation>(
          issuer, limits, time, directory, actions))
{
}

booking_coordinator::~booking_coordinator() = default;

result<ticket, reason> booking_coordinator::issue()
{
    return implementation_->issue();
}

void booking_coordinator::on_booking(
    caller_id caller, const booking_request& request)
{
    implementation_->on_request({false, caller, 0, 0, 0}, request);
}

void booking_coordinator::on_caller_gone(caller_id caller)
{
    implementation_->on_caller_gone(caller);
}

void booking_coordinator::on_forward(
    ordinal entry,
    std::uint64_t entry_nonce,
    forward_id id,
    const booking_request& request)
{
    implementation_->on_request({true, 0, entry, entry_nonce, id}, request);
}

void booking_coordinator::on_forward_reply(
    forward_id id, const booking_answer& answer)
{
    implementation_->on_forward_reply(id, answer);
}

void booking_coordinator::on_execute_reply(
    const booking_key& id, const booking_answer& answer)
{
    implementation_->on_execute_reply(id, answer);
}

void booking_coordinator::on_peer_lost(ordinal index, std::uint64_t nonce)
{
    implementation_->on_peer_lost(index, nonce);
}

void booking_coordinator::start_draining()
{
    implementation_->start_draining();
}

void booking_coordinator::on_timer()
{
    implementation_->on_timer();
}

time_point booking_coordinator::next_wakeup() const
{
    return implementation_->next_wakeup();
}

std::size_t booking_coordinator::tickets() const
{
    return implementation_->tickets();
}

std::size_t booking_coordinator::in_flight() const
{
    return implementation_->in_flight();
}

} // namespace turmericlane
