#include "membership_table.h"

#include "change_queue.h"
#include "instance_list.h"
#include "member_store.h"
#include "reader_choice.h"
#include "target_order.h"

#include <algorithm>
#include <bit>
#include <bitset>
#include <cassert>
#include <functional>
#include <random>

namespace turmericlane
{

class membership_table::implementation
{
public:
    implementation(
        const member& self,
        const membership_limits& limits,
        std::uint64_t seed,
        const clock& time_source,
        membership_actions& actions)
        : limits_(limits)
        , random_(seed)
        , clock_(time_source)
        , actions_(actions)
        , store_(self, limits.max_members)
        , start_time_(time_source.now())
        , next_round_(time_source.now())
        , last_event_(time_source.now())
        , next_exchange_time_(time_source.now())
    {
        assert(self.state == member_state::live);
        assert(
            limits.period > duration::zero() &&
            limits.heartbeats_per_round > 0);
        changes_.add(self.nonce);
    }

    void on_instance_list(std::span<const listed_instance> entries)
    {
        auto now = begin_event();
        instance_list_.replace(entries, store_.self().listen_endpoint, now);
    }

    void on_message(const membership_message& message)
    {
        auto now = begin_event();
        const auto& sender = message.sender;
        if (sender.nonce == store_.self().nonce)
            return;
        apply_record(sender, now);
        record_contact(sender.nonce, now);
        mark_replaced(sender, now);
        for (const auto& it : message.members)
            apply_record(it, now);
        for (const auto& it : message.suspicions)
            apply_suspicion(it, now);
        if (message.kind == membership_message::type::heartbeat)
            acknowledge(sender, message.sequence);
        if (message.kind == membership_message::type::acknowledgement)
            on_acknowledgement(message.sequence);
        if (message.kind == membership_message::type::exchange)
            send_exchange_reply(message);
        else if (message.digest != store_.digest())
            send_exchange(sender.listen_endpoint, now);
    }

    void on_contact(std::uint64_t nonce)
    {
        record_contact(nonce, begin_event());
    }

    void start_leaving()
    {
        const auto& self = store_.self();
        store_.update_self(self.incarnation, member_state::leaving);
        changes_.add(self.nonce);
    }

    void on_timer()
    {
        auto now = begin_event();
        report_missing_acknowledgements(now);
        if (now < next_round_)
            return;
        next_round_ = now + limits_.period;
        store_.remove_reports_before(now - limits_.report_window);
        expire_members(now);
        send_round(now);
    }

    time_point next_wakeup() const
    {
        auto soonest = next_round_;
        // Sequence numbers grow with time, so the first deadline is the
        // earliest.
        if (!pending_heartbeats_.empty())
            soonest =
                std::min(soonest, pending_heartbeats_.begin()->second.deadline);
        return soonest;
    }

    const member_store& store() const
    {
        return store_;
    }

    bool is_listed_as_leaving(const endpoint& peer_endpoint) const
    {
        auto leaving_time = instance_list_.leaving_since(peer_endpoint);
        if (!leaving_time)
            return false;
        for (auto nonce : store_.nonces_at(peer_endpoint))
        {
            auto last_contact = store_.find(nonce)->last_contact;
            if (last_contact && *last_contact > *leaving_time)
                return false;
        }
        return true;
    }

    std::vector<member> sample(std::size_t count, std::string_view data_centre)
    {
        std::vector<member> peers;
        const auto& nonces = target_order_.nonces();
        if (nonces.empty())
            return peers;
        // The order is shuffled, so consecutive entries are a random sample.
        auto position = random_();
        for (std::size_t tries = 0; tries < nonces.size(); ++tries, ++position)
        {
            const auto* it = store_.find(nonces[position % nonces.size()]);
            if (peers.size() < count &&
                it->record.state == member_state::live &&
                (data_centre.empty() || it->record.data_centre == data_centre))
                peers.push_back(it->record);
        }
        return peers;
    }

    std::vector<member> reachable_members() const
    {
        const auto cutoff = clock_.now() - limits_.report_window;
        const auto needs_contact = has_lost_most();
        std::vector<member> records;
        for (const auto& [nonce, it] : store_.entries())
        {
            if (it.record.state == member_state::live &&
                (!needs_contact || it.last_contact >= cutoff))
                records.push_back(it.record);
        }
        return records;
    }

    bool is_up_to_date() const
    {
        return is_up_to_date_ || store_.count(member_state::live) == 0;
    }

private:
    /** Number of heartbeats whose outcome is remembered. */
    static constexpr std::size_t remembered_outcomes = 8;
    static constexpr std::size_t suspicion_bytes = 24;
    /** Upper bound on the encoded size of a record. */
    static constexpr std::size_t max_record_bytes = 300;

    struct pending_heartbeat
    {
        /** Nonce of the process that has to acknowledge; 0 for any. */
        std::uint64_t subject = 0;
        std::uint32_t incarnation = 0;
        time_point deadline;
    };

    /** Returns the current time. Each event starts with this check for a pause
        of the process, since messages that waited in the sockets say nothing
        about the present. */
    time_point begin_event()
    {
        auto now = clock_.now();
        auto gap = now - last_event_;
        last_event_ = now;
        if (gap <= limits_.period + limits_.timeout)
            return now;
        pending_heartbeats_.clear();
        outcomes_.set();
        store_.restart_after_pause(now);
        is_up_to_date_ = false;
        next_round_ = now;
        actions_.on_process_paused(gap);
        return now;
    }

    void record_contact(std::uint64_t nonce, time_point now)
    {
        if (store_.find(nonce) == nullptr)
            return;
        store_.record_contact(nonce, now);
        store_.remove_report(store_.self().nonce, nonce);
    }

    /** Only the acknowledgement of a heartbeat that was sent after a pause
        shows that this instance is up to date again; begin_event drops the
        earlier ones. */
    void on_acknowledgement(std::uint64_t sequence)
    {
        const auto position = pending_heartbeats_.find(sequence);
        if (position == pending_heartbeats_.end())
            return;
        record_outcome(position->second, true);
        pending_heartbeats_.erase(position);
        is_up_to_date_ = true;
    }

    void
    record_outcome(const pending_heartbeat& heartbeat, bool is_acknowledged)
    {
        // Those without a subject go to addresses at which none may run.
        if (heartbeat.subject == 0)
            return;
        outcomes_ <<= 1U;
        outcomes_.set(0, is_acknowledged);
    }

    /** True if most of the last heartbeats were not acknowledged. */
    bool has_lost_most() const
    {
        return outcomes_.count() * 2 < remembered_outcomes;
    }

    void apply_record(const member& statement, time_point now)
    {
        if (statement.nonce == store_.self().nonce)
            return refute(statement.incarnation, statement.state);
        const auto* entry = store_.find(statement.nonce);
        bool was_gone = entry && entry->record.state == member_state::gone;
        if (!store_.merge(statement, now))
            return;
        bool is_gone = statement.state == member_state::gone;
        if (is_gone)
            target_order_.remove(statement.nonce);
        else if (entry == nullptr || was_gone)
            target_order_.add(statement.nonce, random_);
        // A process that was gone and is back may mean that a partition has
        // healed, after which others are back too.
        if (was_gone && !is_gone)
            schedule_early_exchange(now);
        announce_change(statement.nonce);
    }

    void apply_suspicion(const suspicion& report, time_point now)
    {
        if (report.subject == store_.self().nonce)
            return refute(report.incarnation, member_state::suspect);
        const auto* reporter = store_.find(report.reporter);
        const auto* subject = store_.find(report.subject);
        if (reporter == nullptr || subject == nullptr ||
            reporter->record.state == member_state::gone)
            return;
        // The reporter does not know yet that the process is gone.
        if (subject->record.state == member_state::gone)
            return changes_.add(report.subject);
        add_report(report, now);
    }

    void refute(std::uint32_t incarnation, member_state state)
    {
        const auto& self = store_.self();
        bool is_outdated = std::pair(incarnation, state) <=
                           std::pair(self.incarnation, self.state);
        if (is_outdated)
            return;
        store_.update_self(incarnation + 1, self.state);
        changes_.add(self.nonce);
    }

    void announce_change(std::uint64_t nonce)
    {
        changes_.add(nonce);
        actions_.on_member_changed(store_.find(nonce)->record);
    }

    void set_state(std::uint64_t nonce, member_state state, time_point now)
    {
        store_.set_state(nonce, state, now);
        if (state == member_state::gone)
            target_order_.remove(nonce);
        announce_change(nonce);
    }

    /** Only one process listens on an endpoint: the process that sends from
        there has replaced all others. */
    void mark_replaced(const member& sender, time_point now)
    {
        const auto* entry = store_.find(sender.nonce);
        if (entry == nullptr || entry->record.state == member_state::gone)
            return;
        for (auto nonce : store_.nonces_at(sender.listen_endpoint))
            if (nonce != sender.nonce)
                set_state(nonce, member_state::gone, now);
    }

    void add_report(const suspicion& report, time_point now)
    {
        if (!store_.add_report(report, now))
            return;
        reports_.add(report);
        const auto& subject = *store_.find(report.subject);
        // In a fleet of two only one instance can report.
        auto other_count =
            store_.entries().size() - store_.count(member_state::gone);
        std::size_t needed_reports = other_count <= 1 ? 1 : 2;
        bool is_unsuspected = subject.record.state < member_state::suspect;
        if (is_unsuspected && subject.reports.size() >= needed_reports)
            set_state(report.subject, member_state::suspect, now);
    }

    void report_missing_acknowledgements(time_point now)
    {
        while (!pending_heartbeats_.empty())
        {
            auto it = pending_heartbeats_.begin();
            if (it->second.deadline > now)
                return;
            auto overdue = it->second;
            pending_heartbeats_.erase(it);
            record_outcome(overdue, false);
            if (overdue.subject != 0 &&
                !store_.had_contact_after(
                    overdue.subject, overdue.deadline - limits_.timeout))
                add_report(
                    {store_.self().nonce, overdue.subject, overdue.incarnation},
                    now);
        }
    }

    void expire_members(time_point now)
    {
        std::vector<std::uint64_t> expired_suspects;
        std::vector<std::uint64_t> expired_gone;
        for (auto nonce : store_.unreachable_nonces())
        {
            const auto& it = *store_.find(nonce);
            auto age = now - it.state_since;
            auto state = it.record.state;
            if (state == member_state::suspect &&
                age >= limits_.suspect_timeout)
                expired_suspects.push_back(nonce);
            if (state == member_state::gone && age >= limits_.gone_retention)
                expired_gone.push_back(nonce);
        }
        for (auto nonce : expired_suspects)
            set_state(nonce, member_state::gone, now);
        for (auto nonce : expired_gone)
        {
            changes_.remove(nonce);
            store_.erase(nonce);
        }
    }

    void send_round(time_point now)
    {
        auto deadline = now + limits_.timeout;
        auto listed_count = contact_listed(deadline);
        auto target_count = limits_.heartbeats_per_round > listed_count
                                ? limits_.heartbeats_per_round - listed_count
                                : 0;
        target_count = std::min(target_count, target_order_.nonces().size());
        for (std::size_t n = 0; n < target_count; ++n)
        {
            const auto& it =
                store_.find(target_order_.take_next(random_))->record;
            auto sequence = send_heartbeat(it.listen_endpoint, it.nonce);
            pending_heartbeats_[sequence] = {
                it.nonce, it.incarnation, deadline};
        }
        contact_gone(deadline);
    }

    /** Sends heartbeats to listed endpoints at which no process is known: all
        heartbeats of a round while no peer is known, otherwise one.
        @returns the number of heartbeats sent */
    std::size_t contact_listed(time_point deadline)
    {
        auto unknown_endpoints = instance_list_.endpoints_if(
            [&](const endpoint& peer_endpoint)
            { return store_.nonces_at(peer_endpoint).empty(); });
        auto max_count =
            target_order_.nonces().empty() ? limits_.heartbeats_per_round : 1;
        auto count = std::min(max_count, unknown_endpoints.size());
        for (std::size_t i = 0; i < count; ++i)
        {
            auto choice = i + random_() % (unknown_endpoints.size() - i);
            std::swap(unknown_endpoints[i], unknown_endpoints[choice]);
            pending_heartbeats_[send_heartbeat(unknown_endpoints[i], 0)] = {
                0, 0, deadline};
        }
        return count;
    }

    /** Sends a heartbeat to one of the gone processes. After a partition the
        instances on the other side count as gone, and nothing else would
        contact them while the platform's list is not available. */
    void contact_gone(time_point deadline)
    {
        auto gone_count = store_.count(member_state::gone);
        if (gone_count == 0)
            return;
        auto skipped = random_() % gone_count;
        for (auto nonce : store_.unreachable_nonces())
        {
            const auto& it = *store_.find(nonce);
            if (it.record.state != member_state::gone || skipped-- > 0)
                continue;
            if (store_.nonces_at(it.record.listen_endpoint).empty())
                pending_heartbeats_[send_heartbeat(
                    it.record.listen_endpoint, nonce)] = {0, 0, deadline};
            return;
        }
    }

    std::uint64_t
    send_heartbeat(const endpoint& destination, std::uint64_t nonce)
    {
        auto message = make_message_with_changes(
            membership_message::type::heartbeat, nonce);
        message.sequence = ++last_sequence_;
        actions_.send(destination, message);
        return message.sequence;
    }

    void acknowledge(const member& receiver, std::uint64_t sequence)
    {
        auto message = make_message_with_changes(
            membership_message::type::acknowledgement, receiver.nonce);
        message.sequence = sequence;
        actions_.send(receiver.listen_endpoint, message);
    }

    membership_message make_message(membership_message::type kind) const
    {
        membership_message message;
        message.kind = kind;
        message.sender = store_.self();
        message.digest = store_.digest();
        return message;
    }

    membership_message make_message_with_changes(
        membership_message::type kind, std::uint64_t receiver_nonce)
    {
        auto message = make_message(kind);
        const auto* peer = store_.find(receiver_nonce);
        // A process can only refute that it is suspect or gone if it is told.
        if (peer != nullptr && peer->record.state >= member_state::suspect)
            message.members.push_back(peer->record);
        auto budget_bytes = limits_.max_change_bytes;
        auto max_sends = std::bit_width(store_.entries().size()) + 4U;
        auto changed_nonces = changes_.select_for_message(
            budget_bytes, max_sends,
            [&](std::uint64_t nonce)
            {
                if (nonce == store_.self().nonce)
                    return encoded_bytes(store_.self());
                const auto* it = store_.find(nonce);
                return it == nullptr ? 0 : encoded_bytes(it->record);
            });
        for (auto nonce : changed_nonces)
            if (nonce != store_.self().nonce)
                message.members.push_back(store_.find(nonce)->record);
        message.suspicions = reports_.select_for_message(
            budget_bytes, max_sends,
            [&](const suspicion& report)
            {
                const auto* it = store_.find(report.subject);
                bool is_current = it != nullptr &&
                                  it->reports.contains(report.reporter) &&
                                  it->record.incarnation == report.incarnation;
                return is_current ? suspicion_bytes : 0;
            });
        return message;
    }

    void schedule_early_exchange(time_point now)
    {
        auto jitter = duration(std::uniform_int_distribution<duration::rep>(
            0, limits_.period.count())(random_));
        auto soonest = std::max(now, last_exchange_ + limits_.period) + jitter;
        next_exchange_time_ = std::min(next_exchange_time_, soonest);
    }

    void send_exchange(const endpoint& destination, time_point now)
    {
        if (now < next_exchange_time_)
            return;
        auto message = make_message(membership_message::type::exchange);
        next_exchange_nonce_ = add_records(
            message, next_exchange_nonce_, [](const member&) { return true; });
        const auto is_starting = now - start_time_ < limits_.startup_time;
        auto seconds = static_cast<double>(encoded_bytes(message)) /
                       (is_starting ? limits_.startup_exchange_bytes_per_second
                                    : limits_.exchange_bytes_per_second);
        std::uniform_real_distribution<double> jitter(1.0, 2.0);
        auto interval = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(seconds * jitter(random_)));
        next_exchange_time_ =
            now + std::max(interval, (is_starting ? 1 : 5) * limits_.period);
        last_exchange_ = now;
        actions_.send(destination, message);
    }

    /** Adds records to a message in the order of their nonces, starting from
        first_nonce and wrapping around, until the message is full.
        @returns the nonce of the first record that does not fit; first_nonce if
                 all fit */
    std::uint64_t add_records(
        membership_message& message,
        std::uint64_t first_nonce,
        const std::function<bool(const member&)>& is_wanted) const
    {
        const auto& entries = store_.entries();
        auto bytes = encoded_bytes(message);
        auto it = entries.lower_bound(first_nonce);
        for (std::size_t n = 0; n < entries.size(); ++n, ++it)
        {
            if (it == entries.end())
                it = entries.begin();
            const auto& record = it->second.record;
            if (!is_wanted(record))
                continue;
            bytes += encoded_bytes(record);
            if (bytes > limits_.max_exchange_bytes)
                return it->first;
            message.members.push_back(record);
        }
        return first_nonce;
    }

    /** True if the sender of an exchange does not know a process that the
        exchange does not list. A full exchange says nothing about nonces
        outside the range from its first to its last record. */
    bool
    sender_lacks(const membership_message& exchange, std::uint64_t nonce) const
    {
        const auto& listed_records = exchange.members;
        const auto is_full = encoded_bytes(exchange) + max_record_bytes >
                             limits_.max_exchange_bytes;
        if (!is_full || listed_records.empty())
            return true;
        const auto first_nonce = listed_records.front().nonce;
        const auto last_nonce = listed_records.back().nonce;
        return first_nonce <= last_nonce
                   ? first_nonce <= nonce && nonce <= last_nonce
                   : first_nonce <= nonce || nonce <= last_nonce;
    }

    void send_exchange_reply(const membership_message& exchange)
    {
        std::map<std::uint64_t, const member*> sender_records;
        for (const auto& it : exchange.members)
            sender_records[it.nonce] = &it;
        auto message = make_message(membership_message::type::exchange_reply);
        const auto is_wanted = [&](const member& it)
        {
            if (it.nonce == exchange.sender.nonce && it == exchange.sender)
                return false;
            const auto match = sender_records.find(it.nonce);
            return match == sender_records.end()
                       ? sender_lacks(exchange, it.nonce)
                       : *match->second != it;
        };
        add_records(
            message,
            exchange.members.empty() ? 0 : exchange.members.front().nonce,
            is_wanted);
        actions_.send(exchange.sender.listen_endpoint, message);
    }

    membership_limits limits_;
    std::mt19937_64 random_;
    const clock& clock_;
    membership_actions& actions_;
    member_store store_;
    instance_list instance_list_;
    /** Processes that are not gone, in the order of their heartbeats. */
    target_order target_order_;
    /** Heartbeats that were not acknowledged yet, by sequence number. */
    std::map<std::uint64_t, pending_heartbeat> pending_heartbeats_;
    std::uint64_t last_sequence_ = 0;
    /** Whether the last heartbeats to known processes were acknowledged; those
        before the start count as acknowledged. */
    std::bitset<remembered_outcomes> outcomes_ =
        std::bitset<remembered_outcomes>().set();
    /** Nonces of the members whose changed records are to be sent. */
    change_queue<std::uint64_t> changes_;
    change_queue<suspicion> reports_;
    time_point start_time_;
    time_point next_round_;
    time_point last_event_;
    /** Earliest time of the next exchange. */
    time_point next_exchange_time_;
    /** Nonce of the first record in the next exchange. */
    std::uint64_t next_exchange_nonce_ = 0;
    time_point last_exchange_{};
    bool is_up_to_date_ = true;
};

membership_table::membership_table(
    const member& self,
    const membership_limits& limits,
    std::uint64_t seed,
    const clock& time_source,
    membership_actions& actions)
    : implementation_(std::make_unique<implementation>(
          self, limits, seed, time_source, actions))
{
}

membership_table::~membership_table() = default;

void membership_table::on_instance_list(
    std::span<const listed_instance> entries)
{
    implementation_->on_instance_list(entries);
}

void membership_table::on_message(const membership_message& message)
{
    implementation_->on_message(message);
}

void membership_table::on_contact(std::uint64_t nonce)
{
    implementation_->on_contact(nonce);
}

void membership_table::start_leaving()
{
    implementation_->start_leaving();
}

void membership_table::on_timer()
{
    implementation_->on_timer();
}

time_point membership_table::next_wakeup() const
{
    return implementation_->next_wakeup();
}

const member& membership_table::self() const
{
    return implementation_->store().self();
}

std::vector<member> membership_table::members() const
{
    std::vector<member> records;
    for (const auto& [nonce, it] : implementation_->store().entries())
        records.push_back(it.record);
    return records;
}

std::vector<member> membership_table::reachable_members() const
{
    return implementation_->reachable_members();
}

std::optional<member> membership_table::find_by_ordinal(ordinal index) const
{
    const auto* it = implementation_->store().ordinal_holder(index);
    return it == nullptr ? std::nullopt : std::optional(*it);
}

std::uint64_t membership_table::usable_nonce(ordinal index) const
{
    const auto* it = implementation_->store().ordinal_holder(index);
    bool is_usable = it != nullptr && it->state < member_state::suspect;
    return is_usable ? it->nonce : 0;
}

std::optional<member> membership_table::find_by_nonce(std::uint64_t nonce) const
{
    if (nonce == self().nonce)
        return self();
    const auto* it = implementation_->store().find(nonce);
    return it == nullptr ? std::nullopt : std::optional(it->record);
}

bool membership_table::is_listed_as_leaving(const endpoint& peer_endpoint) const
{
    return implementation_->is_listed_as_leaving(peer_endpoint);
}

std::size_t membership_table::live_count() const
{
    bool is_self_live = self().state == member_state::live;
    return implementation_->store().count(member_state::live) +
           (is_self_live ? 1 : 0);
}

std::vector<ordinal>
membership_table::readers(std::string_view data_centre) const
{
    return choose_readers(implementation_->store(), data_centre);
}

bool membership_table::is_reader() const
{
    auto reader_ordinals = readers(self().data_centre);
    return std::find(
               reader_ordinals.begin(), reader_ordinals.end(), self().index) !=
           reader_ordinals.end();
}

std::vector<member>
membership_table::sample(std::size_t count, std::string_view data_centre)
{
    return implementation_->sample(count, data_centre);
}

bool membership_table::is_up_to_date() const
{
    return implementation_->is_up_to_date();
}

} // namespace turmericlane
