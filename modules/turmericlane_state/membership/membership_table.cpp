#include "membership_table.h"

#include "change_queue.h"
#include "instance_list.h"
#include "member_store.h"
#include "reader_choice.h"
#include "target_order.h"

#include <algorithm>
#include <bit>
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
        const clock& time,
        membership_actions& actions)
        : limits_(limits)
        , random_(seed)
        , clock_(time)
        , actions_(actions)
        , store_(self, limits.members)
        , started_(time.now())
        , next_round_(time.now())
        , last_active_(time.now())
        , exchange_at_(time.now())
    {
        assert(self.state == member_state::live);
        assert(limits.period > duration::zero() && limits.targets > 0);
        changes_.add(self.nonce);
    }

    void on_list(std::span<const listed_instance> entries)
    {
        auto now = begin();
        listed_.read(entries, store_.self().where, now);
    }

    void on_message(const membership_message& message)
    {
        auto now = begin();
        const auto& from = message.sender;
        if (from.nonce == store_.self().nonce)
            return;
        take(from, now);
        hear(from.nonce, now);
        supersede(from, now);
        for (const auto& it : message.members)
            take(it, now);
        for (const auto& it : message.suspicions)
            take(it, now);
        if (message.kind == membership_message::type::heartbeat)
            reply(from, message.sequence);
        if (message.kind == membership_message::type::acknowledgement)
            acknowledged(message.sequence);
        if (message.kind == membership_message::type::exchange)
            reply_exchange(message);
        else if (message.digest != store_.digest())
            exchange(from.where, now);
    }

    void on_contact(std::uint64_t nonce)
    {
        hear(nonce, begin());
    }

    void start_leaving()
    {
        const auto& self = store_.self();
        store_.set_self(self.incarnation, member_state::leaving);
        changes_.add(self.nonce);
    }

    void on_timer()
    {
        auto now = begin();
        report_silent(now);
        if (now < next_round_)
            return;
        next_round_ = now + limits_.period;
        store_.drop_reports(now - limits_.report_window);
        age_members(now);
        send_round(now);
    }

    time_point next_wakeup() const
    {
        auto soonest = next_round_;
        // Sequences grow with time, so that the first one ends first.
        if (!pending_.empty())
            soonest = std::min(soonest, pending_.begin()->second.deadline);
        return soonest;
    }

    const member_store& store() const
    {
        return store_;
    }

    bool listed_as_leaving(const endpoint& where) const
    {
        auto since = listed_.leaving_since(where);
        if (!since)
            return false;
        for (auto nonce : store_.at(where))
        {
            auto heard = store_.find(nonce)->heard;
            if (heard && *heard > *since)
                return false;
        }
        return true;
    }

    std::vector<member> sample(std::size_t count)
    {
        std::vector<member> made;
        const auto& all = targets_.all();
        if (all.empty())
            return made;
        // Neighbours in the shuffled order are as good as separate draws.
        auto n = random_();
        for (std::size_t tries = 0; tries < all.size(); ++tries, ++n)
        {
            const auto* it = store_.find(all[n % all.size()]);
            if (made.size() < count && it->value.state == member_state::live)
                made.push_back(it->value);
        }
        return made;
    }

    bool fresh() const
    {
        return fresh_ || store_.count(member_state::live) == 0;
    }

private:
    static constexpr std::size_t suspicion_bytes = 24;
    /** Upper bound on the encoded size of a member. */
    static constexpr std::size_t largest_record_bytes = 300;

    struct probe
    {
        /** Nonce of the process that has to answer; 0 for any. */
        std::uint64_t subject = 0;
        std::uint32_t incarnation = 0;
        time_point deadline;
    };

    /** Notices a pause before anything else, since messages that waited in the
        sockets say nothing about the present. */
    time_point begin()
    {
        auto now = clock_.now();
        auto gap = now - last_active_;
        last_active_ = now;
        if (gap <= limits_.period + limits_.timeout)
            return now;
        pending_.clear();
        store_.restart_spans(now);
        fresh_ = false;
        next_round_ = now;
        actions_.paused(gap);
        return now;
    }

    void hear(std::uint64_t nonce, time_point now)
    {
        if (store_.find(nonce) == nullptr)
            return;
        store_.heard(nonce, now);
        store_.remove_report(store_.self().nonce, nonce);
    }

    /** Only the answer to a heartbeat that was sent after a pause says that
        this instance sees the present again. */
    void acknowledged(std::uint64_t sequence)
    {
        if (pending_.erase(sequence) > 0)
            fresh_ = true;
    }

    void take(const member& statement, time_point now)
    {
        if (statement.nonce == store_.self().nonce)
            return refute(statement.incarnation, statement.state);
        const auto* known = store_.find(statement.nonce);
        bool was_gone = known && known->value.state == member_state::gone;
        if (!store_.merge(statement, now))
            return;
        bool is_gone = statement.state == member_state::gone;
        if (is_gone)
            targets_.remove(statement.nonce);
        else if (known == nullptr || was_gone)
            targets_.add(statement.nonce, random_);
        // A process that comes back shows that a partition has healed, and
        // others may come back with it.
        if (was_gone && !is_gone)
            hasten_exchange(now);
        announce(statement.nonce);
    }

    void take(const suspicion& report, time_point now)
    {
        if (report.subject == store_.self().nonce)
            return refute(report.incarnation, member_state::suspect);
        const auto* reporter = store_.find(report.reporter);
        const auto* subject = store_.find(report.subject);
        if (reporter == nullptr || subject == nullptr ||
            reporter->value.state == member_state::gone)
            return;
        // The reporter has not heard that the process is gone.
        if (subject->value.state == member_state::gone)
            return changes_.add(report.subject);
        add_report(report, now);
    }

    void refute(std::uint32_t incarnation, member_state state)
    {
        const auto& self = store_.self();
        bool harmless = std::pair(incarnation, state) <=
                        std::pair(self.incarnation, self.state);
        if (harmless)
            return;
        store_.set_self(incarnation + 1, self.state);
        changes_.add(self.nonce);
    }

    void announce(std::uint64_t nonce)
    {
        changes_.add(nonce);
        actions_.changed(store_.find(nonce)->value);
    }

    void set_state(std::uint64_t nonce, member_state state, time_point now)
    {
        store_.set_state(nonce, state, now);
        if (state == member_state::gone)
            targets_.remove(nonce);
        announce(nonce);
    }

    /** An address belongs to one process: whoever answers there has replaced
        the others. */
    void supersede(const member& sender, time_point now)
    {
        const auto* known = store_.find(sender.nonce);
        if (known == nullptr || known->value.state == member_state::gone)
            return;
        for (auto nonce : store_.at(sender.where))
            if (nonce != sender.nonce)
                set_state(nonce, member_state::gone, now);
    }

    void add_report(const suspicion& report, time_point now)
    {
        if (!store_.add_report(report, now))
            return;
        reports_.add(report);
        const auto& subject = *store_.find(report.subject);
        // In a fleet of two there is only one possible reporter.
        auto others =
            store_.entries().size() - store_.count(member_state::gone);
        std::size_t needed = others <= 1 ? 1 : 2;
        bool unsuspected = subject.value.state < member_state::suspect;
        if (unsuspected && subject.reports.size() >= needed)
            set_state(report.subject, member_state::suspect, now);
    }

    void report_silent(time_point now)
    {
        while (!pending_.empty())
        {
            auto it = pending_.begin();
            if (it->second.deadline > now)
                return;
            auto late = it->second;
            pending_.erase(it);
            if (late.subject != 0 &&
                !store_.heard_since(
                    late.subject, late.deadline - limits_.timeout))
                add_report(
                    {store_.self().nonce, late.subject, late.incarnation}, now);
        }
    }

    void age_members(time_point now)
    {
        std::vector<std::uint64_t> given_up;
        std::vector<std::uint64_t> forgotten;
        for (auto nonce : store_.unreachable())
        {
            const auto& it = *store_.find(nonce);
            auto age = now - it.since;
            auto state = it.value.state;
            if (state == member_state::suspect && age >= limits_.suspect_time)
                given_up.push_back(nonce);
            if (state == member_state::gone && age >= limits_.gone_time)
                forgotten.push_back(nonce);
        }
        for (auto nonce : given_up)
            set_state(nonce, member_state::gone, now);
        for (auto nonce : forgotten)
        {
            changes_.remove(nonce);
            store_.erase(nonce);
        }
    }

    void send_round(time_point now)
    {
        auto deadline = now + limits_.timeout;
        auto used = send_to_listed(deadline);
        auto left = limits_.targets > used ? limits_.targets - used : 0;
        left = std::min(left, targets_.all().size());
        for (std::size_t n = 0; n < left; ++n)
        {
            const auto& it = store_.find(targets_.next(random_))->value;
            auto sequence = heartbeat(it.where, it.nonce);
            pending_[sequence] = {it.nonce, it.incarnation, deadline};
        }
        send_to_gone(deadline);
    }

    /** Contacts listed endpoints at which no process is known: all heartbeats
        of a round while no peer is known, otherwise one. */
    std::size_t send_to_listed(time_point deadline)
    {
        auto unknown = listed_.select([&](const endpoint& where)
                                      { return store_.at(where).empty(); });
        auto share = targets_.all().empty() ? limits_.targets : 1;
        auto n = std::min(share, unknown.size());
        for (std::size_t done = 0; done < n; ++done)
        {
            auto pick = done + random_() % (unknown.size() - done);
            std::swap(unknown[done], unknown[pick]);
            pending_[heartbeat(unknown[done], 0)] = {0, 0, deadline};
        }
        return n;
    }

    /** Contacts one gone process now and then: after a partition its other side
        is gone, and nothing else would reach it while the list is down. */
    void send_to_gone(time_point deadline)
    {
        auto gone = store_.count(member_state::gone);
        if (gone == 0)
            return;
        auto n = random_() % gone;
        for (auto nonce : store_.unreachable())
        {
            const auto& it = *store_.find(nonce);
            if (it.value.state != member_state::gone || n-- > 0)
                continue;
            if (store_.at(it.value.where).empty())
                pending_[heartbeat(it.value.where, nonce)] = {0, 0, deadline};
            return;
        }
    }

    std::uint64_t heartbeat(const endpoint& to, std::uint64_t nonce)
    {
        auto made = compose(membership_message::type::heartbeat, nonce);
        made.sequence = ++last_sequence_;
        actions_.send(to, made);
        return made.sequence;
    }

    void reply(const member& to, std::uint64_t sequence)
    {
        auto made =
            compose(membership_message::type::acknowledgement, to.nonce);
        made.sequence = sequence;
        actions_.send(to.where, made);
    }

    membership_message header(membership_message::type kind) const
    {
        membership_message made;
        made.kind = kind;
        made.sender = store_.self();
        made.digest = store_.digest();
        return made;
    }

    membership_message compose(membership_message::type kind, std::uint64_t to)
    {
        auto made = header(kind);
        const auto* peer = store_.find(to);
        // A process that is suspect or gone has to learn it, to refute it.
        if (peer != nullptr && peer->value.state >= member_state::suspect)
            made.members.push_back(peer->value);
        auto budget = limits_.change_bytes;
        auto times = std::bit_width(store_.entries().size()) + 4U;
        auto members = changes_.take(
            budget, times,
            [&](std::uint64_t nonce)
            {
                if (nonce == store_.self().nonce)
                    return encoded_bytes(store_.self());
                const auto* it = store_.find(nonce);
                return it == nullptr ? 0 : encoded_bytes(it->value);
            });
        for (auto nonce : members)
            if (nonce != store_.self().nonce)
                made.members.push_back(store_.find(nonce)->value);
        made.suspicions = reports_.take(
            budget, times,
            [&](const suspicion& report)
            {
                const auto* it = store_.find(report.subject);
                bool counts = it != nullptr &&
                              it->reports.contains(report.reporter) &&
                              it->value.incarnation == report.incarnation;
                return counts ? suspicion_bytes : 0;
            });
        return made;
    }

    void hasten_exchange(time_point now)
    {
        auto jitter = duration(std::uniform_int_distribution<duration::rep>(
            0, limits_.period.count())(random_));
        auto soonest = std::max(now, last_exchange_ + limits_.period) + jitter;
        exchange_at_ = std::min(exchange_at_, soonest);
    }

    void exchange(const endpoint& to, time_point now)
    {
        if (now < exchange_at_)
            return;
        auto made = header(membership_message::type::exchange);
        exchange_from_ = add_records(
            made, exchange_from_, [](const member&) { return true; });
        const auto young = now - started_ < limits_.young_time;
        auto seconds = static_cast<double>(encoded_bytes(made)) /
                       (young ? limits_.young_exchange_bytes_per_second
                              : limits_.exchange_bytes_per_second);
        std::uniform_real_distribution<double> jitter(1.0, 2.0);
        auto pause = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(seconds * jitter(random_)));
        exchange_at_ = now + std::max(pause, (young ? 1 : 5) * limits_.period);
        last_exchange_ = now;
        actions_.send(to, made);
    }

    /** Adds records in the order of nonces, from one on and around the end,
        while they fit.
        @returns the nonce of the first that doesn't fit, else the given one */
    std::uint64_t add_records(
        membership_message& to,
        std::uint64_t first,
        const std::function<bool(const member&)>& wanted) const
    {
        const auto& all = store_.entries();
        auto bytes = encoded_bytes(to);
        auto at = all.lower_bound(first);
        for (std::size_t n = 0; n < all.size(); ++n, ++at)
        {
            if (at == all.end())
                at = all.begin();
            const auto& value = at->second.value;
            if (!wanted(value))
                continue;
            bytes += encoded_bytes(value);
            if (bytes > limits_.exchange_bytes)
                return at->first;
            to.members.push_back(value);
        }
        return first;
    }

    /** True if the sender of an exchange knows of no process with that nonce,
        though it would have named it: an exchange that is full names those
        from its first to its last nonce only. */
    bool lacks(const membership_message& exchange, std::uint64_t nonce) const
    {
        const auto& named = exchange.members;
        const auto full = encoded_bytes(exchange) + largest_record_bytes >
                          limits_.exchange_bytes;
        if (!full || named.empty())
            return true;
        const auto first = named.front().nonce;
        const auto last = named.back().nonce;
        return first <= last ? first <= nonce && nonce <= last
                             : first <= nonce || nonce <= last;
    }

    void reply_exchange(const membership_message& to)
    {
        std::map<std::uint64_t, const member*> theirs;
        for (const auto& it : to.members)
            theirs[it.nonce] = &it;
        auto made = header(membership_message::type::exchange_reply);
        const auto wanted = [&](const member& it)
        {
            if (it.nonce == to.sender.nonce && it == to.sender)
                return false;
            const auto found = theirs.find(it.nonce);
            return found == theirs.end() ? lacks(to, it.nonce)
                                         : *found->second != it;
        };
        add_records(
            made, to.members.empty() ? 0 : to.members.front().nonce, wanted);
        actions_.send(to.sender.where, made);
    }

    membership_limits limits_;
    std::mt19937_64 random_;
    const clock& clock_;
    membership_actions& actions_;
    member_store store_;
    instance_list listed_;
    /** Processes that are not gone. */
    target_order targets_;
    /** Heartbeats that were not acknowledged. */
    std::map<std::uint64_t, probe> pending_;
    std::uint64_t last_sequence_ = 0;
    /** Nonces whose records are to be carried. */
    change_queue<std::uint64_t> changes_;
    change_queue<suspicion> reports_;
    time_point started_;
    time_point next_round_;
    time_point last_active_;
    time_point exchange_at_;
    /** Nonce with which the next exchange begins. */
    std::uint64_t exchange_from_ = 0;
    time_point last_exchange_{};
    bool fresh_ = true;
};

membership_table::membership_table(
    const member& self,
    const membership_limits& limits,
    std::uint64_t seed,
    const clock& time,
    membership_actions& actions)
    : implementation_(
          std::make_unique<implementation>(self, limits, seed, time, actions))
{
}

membership_table::~membership_table() = default;

void membership_table::on_list(std::span<const listed_instance> entries)
{
    implementation_->on_list(entries);
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
    std::vector<member> made;
    for (const auto& [nonce, it] : implementation_->store().entries())
        made.push_back(it.value);
    return made;
}

std::optional<member> membership_table::find(ordinal index) const
{
    const auto* it = implementation_->store().in_charge(index);
    return it == nullptr ? std::nullopt : std::optional(*it);
}

std::uint64_t membership_table::usable_nonce(ordinal index) const
{
    const auto* it = implementation_->store().in_charge(index);
    bool usable = it != nullptr && it->state < member_state::suspect;
    return usable ? it->nonce : 0;
}

std::optional<member> membership_table::find_nonce(std::uint64_t nonce) const
{
    if (nonce == self().nonce)
        return self();
    const auto* it = implementation_->store().find(nonce);
    return it == nullptr ? std::nullopt : std::optional(it->value);
}

bool membership_table::listed_as_leaving(const endpoint& where) const
{
    return implementation_->listed_as_leaving(where);
}

std::size_t membership_table::live_count() const
{
    bool self_lives = self().state == member_state::live;
    return implementation_->store().count(member_state::live) +
           (self_lives ? 1 : 0);
}

std::vector<ordinal>
membership_table::readers(std::string_view data_centre) const
{
    return choose_readers(implementation_->store(), data_centre);
}

bool membership_table::is_reader() const
{
    auto all = readers(self().data_centre);
    return std::find(all.begin(), all.end(), self().index) != all.end();
}

std::vector<member> membership_table::sample(std::size_t count)
{
    return implementation_->sample(count);
}

bool membership_table::fresh() const
{
    return implementation_->fresh();
}

} // namespace turmericlane
