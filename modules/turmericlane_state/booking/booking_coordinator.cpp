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

void add_to_hash(crypto_generichash_state& hash_state, std::string_view text)
{
    crypto_generichash_update(
        &hash_state, reinterpret_cast<const unsigned char*>(text.data()),
        text.size());
}

/** Returns a hash of what the backend server would execute. It leaves out the
    deadline and the rank, which may differ between repeated requests. */
digest compute_digest(const booking_request& request)
{
    crypto_generichash_state hash_state;
    digest hash;
    crypto_generichash_init(&hash_state, nullptr, 0, hash.size());
    add_to_hash(hash_state, std::to_string(request.service) + ' ');
    add_to_hash(hash_state, std::to_string(request.key.size()) + ' ');
    add_to_hash(hash_state, request.key);
    add_to_hash(hash_state, request.payload);
    crypto_generichash_final(&hash_state, hash.data(), hash.size());
    return hash;
}

booking_answer may_have_run(reason cause)
{
    return {verdict::unknown(cause), 0, {}};
}

booking_answer not_run(reason cause)
{
    return {verdict::refused(cause), 0, {}};
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

    /** Sender of a request: a caller of this instance or, if is_remote, an
        entry that forwarded the request. */
    struct request_source
    {
        bool is_remote = false;
        caller_id caller = 0;
        ordinal entry = 0;
        std::uint64_t entry_nonce = 0;
        forward_id id_at_entry = 0;
    };

    struct waiter
    {
        request_source source;
        time_point deadline;
    };

    struct record
    {
        ticket_state state = ticket_state::issued;
        digest content_digest{};
        time_point expiry;
        booking_owner owner;
        booking_answer answer;
        std::vector<waiter> waiters;
    };

    struct forwarded_booking
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
        remove_expired_records(clock_.now());
        if (is_draining_)
            return result<ticket, reason>::failure(reason::instance_leaving);
        if (records_.size() >= limits_.max_tickets)
            return result<ticket, reason>::failure(reason::ticket_table_full);
        auto issued_ticket = issuer_.issue();
        records_[issued_ticket.serial].expiry = issuer_.expiry(issued_ticket);
        return issued_ticket;
    }

    void
    on_request(const request_source& source, const booking_request& request)
    {
        if (request.booking_ticket.issuer_nonce != issuer_.nonce())
            return forward_to_issuer(source, request);
        if (!issuer_.is_authentic(request.booking_ticket))
            return answer(source, not_run(reason::ticket_invalid));
        auto it = records_.find(request.booking_ticket.serial);
        if (it == records_.end())
            return answer(source, may_have_run(reason::ticket_forgotten));
        if (it->second.state == ticket_state::issued)
            return send_first(it->first, it->second, source, request);
        answer_repeat(it->first, it->second, source, request);
    }

    void on_caller_gone(caller_id caller)
    {
        std::erase_if(
            forwarded_bookings_,
            [&](const auto& it) { return it.second.caller == caller; });
        remove_waiters(
            [&](const request_source& source)
            { return !source.is_remote && source.caller == caller; });
    }

    void on_forward_reply(forward_id id, const booking_answer& answer)
    {
        auto it = forwarded_bookings_.find(id);
        if (it == forwarded_bookings_.end())
            return;
        auto caller = it->second.caller;
        forwarded_bookings_.erase(it);
        actions_.answer(caller, answer);
    }

    void on_execute_reply(const booking_key& id, const booking_answer& answer)
    {
        if (id.issuer_nonce != issuer_.nonce())
            return;
        auto it = records_.find(id.serial);
        if (it == records_.end())
            return;
        bool is_open = it->second.state == ticket_state::sending ||
                       it->second.state == ticket_state::unknown;
        if (is_open)
            set_outcome(it->first, it->second, answer);
    }

    void on_peer_lost(ordinal index, std::uint64_t nonce)
    {
        remove_waiters(
            [&](const request_source& source)
            { return source.is_remote && source.entry_nonce == nonce; });
        auto open_serials = sending_serials_;
        for (auto serial : open_serials)
        {
            auto& it = records_.at(serial);
            if (it.owner == booking_owner{index, nonce})
                set_outcome(serial, it, may_have_run(reason::reply_lost));
        }
        std::vector<forward_id> lost_ids;
        for (const auto& [id, it] : forwarded_bookings_)
            if (it.issuer_nonce == nonce)
                lost_ids.push_back(id);
        for (auto id : lost_ids)
            on_forward_reply(id, may_have_run(reason::reply_lost));
    }

    void start_draining()
    {
        is_draining_ = true;
    }

    void on_timer()
    {
        auto now = clock_.now();
        answer_late_waiters(now);
        std::vector<forward_id> late_ids;
        for (const auto& [id, it] : forwarded_bookings_)
            if (it.deadline <= now)
                late_ids.push_back(id);
        for (auto id : late_ids)
            on_forward_reply(id, may_have_run(reason::deadline_reached));
        remove_expired_records(now);
    }

    time_point next_wakeup() const
    {
        auto wakeup_time = time_point::max();
        if (!records_.empty())
            wakeup_time = removal_time(records_.begin()->second);
        for (const auto& [id, it] : forwarded_bookings_)
            wakeup_time = std::min(wakeup_time, it.deadline);
        for (auto serial : sending_serials_)
            for (const auto& it : records_.at(serial).waiters)
                wakeup_time = std::min(wakeup_time, it.deadline);
        return wakeup_time;
    }

    std::size_t ticket_count() const
    {
        return records_.size();
    }

    std::size_t in_flight() const
    {
        auto count = forwarded_bookings_.size();
        for (auto serial : sending_serials_)
            count += records_.at(serial).waiters.size();
        return count;
    }

private:
    void answer(const request_source& source, const booking_answer& value)
    {
        if (source.is_remote)
            actions_.reply_forward(
                source.entry, source.entry_nonce, source.id_at_entry, value);
        else
            actions_.answer(source.caller, value);
    }

    void forward_to_issuer(
        const request_source& source, const booking_request& request)
    {
        const auto& forwarded_ticket = request.booking_ticket;
        // An earlier request may have run through another entry, so none of the
        // answers here may be not_run.
        if (source.is_remote ||
            forwarded_ticket.issuer == issuer_.own_ordinal() ||
            !directory_.is_reachable(
                forwarded_ticket.issuer, forwarded_ticket.issuer_nonce))
            return answer(source, may_have_run(reason::issuer_gone));
        if (request.deadline <= clock_.now())
            return answer(source, may_have_run(reason::deadline_past));
        if (forwarded_bookings_.size() >= limits_.max_forwards)
            return answer(source, may_have_run(reason::queue_full));
        auto id = ++last_forward_id_;
        bool is_sent = actions_.send_forward(
            forwarded_ticket.issuer, forwarded_ticket.issuer_nonce, id,
            request);
        if (!is_sent)
            return answer(source, may_have_run(reason::issuer_gone));
        forwarded_bookings_[id] = {
            source.caller, forwarded_ticket.issuer,
            forwarded_ticket.issuer_nonce, request.deadline};
    }

    void answer_repeat(
        [[maybe_unused]] std::uint64_t serial,
        record& stored_record,
        const request_source& source,
        const booking_request& request)
    {
        if (stored_record.content_digest != compute_digest(request))
        {
            auto reuse_verdict = stored_record.answer.final_verdict;
            bool is_unsent = stored_record.state == ticket_state::finished &&
                             reuse_verdict.result == outcome::not_run;
            reuse_verdict = is_unsent ? verdict::refused(reason::ticket_reused)
                                      : verdict::unknown(reason::ticket_reused);
            return answer(source, {reuse_verdict, 0, {}});
        }
        if (stored_record.state != ticket_state::sending)
            return answer(source, stored_record.answer);
        if (request.deadline <= clock_.now())
            return answer(source, may_have_run(reason::deadline_past));
        if (stored_record.waiters.size() >= limits_.max_waiters_per_ticket)
            return answer(source, may_have_run(reason::queue_full));
        assert(sending_serials_.contains(serial));
        stored_record.waiters.push_back({source, request.deadline});
    }

    void send_first(
        std::uint64_t serial,
        record& new_record,
        const request_source& source,
        const booking_request& request)
    {
        assert(new_record.state == ticket_state::issued);
        new_record.content_digest = compute_digest(request);
        auto cause = try_owners(serial, new_record, request);
        if (cause == reason::none)
        {
            new_record.waiters.push_back({source, request.deadline});
            return;
        }
        set_outcome(serial, new_record, not_run(cause));
        answer(source, new_record.answer);
    }

    /** Sends the booking to the first owner that can be reached. Returns
        reason::none if an owner's session took the frame. */
    reason try_owners(
        std::uint64_t serial,
        record& new_record,
        const booking_request& request)
    {
        if (is_draining_)
            return reason::instance_leaving;
        auto group = directory_.group_of(request.service, request.key);
        if (!group)
            return group.error();
        booking_frame frame;
        frame.id = {issuer_.nonce(), serial};
        frame.group = *group;
        frame.key = request.key;
        frame.payload = request.payload;
        frame.request_rank = request.request_rank;
        for (const auto& it : directory_.owners_of(*group))
        {
            // The clock is read before each attempt, because the process may
            // have been paused since the request arrived.
            auto now = clock_.now();
            if (new_record.expiry <= now)
                return reason::ticket_expired;
            if (request.deadline <= now)
                return reason::deadline_past;
            frame.owner_nonce = it.nonce;
            frame.time_left =
                std::min(new_record.expiry, request.deadline) - now;
            if (!actions_.send_execute(it, frame))
                continue;
            new_record.state = ticket_state::sending;
            new_record.owner = it;
            sending_serials_.insert(serial);
            return reason::none;
        }
        return reason::no_owner;
    }

    void set_outcome(
        std::uint64_t serial, record& open_record, const booking_answer& value)
    {
        bool is_outcome_known =
            value.final_verdict.result != outcome::may_have_run;
        if (open_record.state == ticket_state::unknown && !is_outcome_known)
            return;
        open_record.state =
            is_outcome_known ? ticket_state::finished : ticket_state::unknown;
        open_record.answer = value;
        sending_serials_.erase(serial);
        for (const auto& it : std::exchange(open_record.waiters, {}))
            answer(it.source, open_record.answer);
    }

    template <class Predicate>
    void remove_waiters(Predicate has_left)
    {
        for (auto serial : sending_serials_)
            std::erase_if(
                records_.at(serial).waiters,
                [&](const waiter& it) { return has_left(it.source); });
    }

    void answer_late_waiters(time_point now)
    {
        for (auto serial : sending_serials_)
        {
            auto& waiters = records_.at(serial).waiters;
            auto first_late = std::stable_partition(
                waiters.begin(), waiters.end(),
                [&](const waiter& it) { return it.deadline > now; });
            std::vector<waiter> late_waiters(first_late, waiters.end());
            waiters.erase(first_late, waiters.end());
            for (const auto& it : late_waiters)
                answer(it.source, may_have_run(reason::deadline_reached));
        }
    }

    time_point removal_time(const record& it) const
    {
        return it.expiry + limits_.grace_period;
    }

    /** Removes the expired records. They are at the front, because serials
        increase with the expiry. */
    void remove_expired_records(time_point now)
    {
        while (!records_.empty())
        {
            auto it = records_.begin();
            if (removal_time(it->second) > now)
                return;
            for (const auto& late_waiter : it->second.waiters)
                answer(late_waiter.source, may_have_run(reason::reply_lost));
            sending_serials_.erase(it->first);
            records_.erase(it);
        }
    }

    ticket_issuer& issuer_;
    booking_limits limits_;
    const clock& clock_;
    const booking_directory& directory_;
    booking_actions& actions_;
    std::map<std::uint64_t, record> records_;
    /** Serials of the records in state sending. */
    std::set<std::uint64_t> sending_serials_;
    std::map<forward_id, forwarded_booking> forwarded_bookings_;
    forward_id last_forward_id_ = 0;
    bool is_draining_ = false;
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

std::size_t booking_coordinator::ticket_count() const
{
    return implementation_->ticket_count();
}

std::size_t booking_coordinator::in_flight() const
{
    return implementation_->in_flight();
}

} // namespace turmericlane
