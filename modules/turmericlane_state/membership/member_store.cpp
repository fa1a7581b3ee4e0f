#include "member_store.h"

#include <cassert>
#include <xxhash.h>

namespace turmericlane
{

namespace
{

bool supersedes(const member& statement, const member& existing)
{
    return std::pair(statement.incarnation, statement.state) >
           std::pair(existing.incarnation, existing.state);
}

std::size_t state_index(member_state state)
{
    return static_cast<std::size_t>(state);
}

} // namespace

member_store::member_store(const member& self, std::size_t max_entries)
    : self_(self)
    , max_entries_(max_entries)
{
    assert(self.nonce != 0);
    toggle_in_digest(self_);
}

void member_store::update_self(std::uint32_t incarnation, member_state state)
{
    assert(incarnation >= self_.incarnation);
    toggle_in_digest(self_);
    self_.incarnation = incarnation;
    self_.state = state;
    toggle_in_digest(self_);
}

bool member_store::merge(const member& statement, time_point now)
{
    if (statement.nonce == 0 || statement.nonce == self_.nonce)
        return false;
    auto it = entries_.find(statement.nonce);
    if (it != entries_.end())
    {
        if (!supersedes(statement, it->second.record))
            return false;
        replace(it->second, statement, now);
        return true;
    }
    // An unknown process that is gone needs no record. If it were added, peers
    // would send each other the records of gone processes for ever.
    if (statement.state == member_state::gone ||
        entries_.size() >= max_entries_)
        return false;
    auto& new_entry = entries_[statement.nonce];
    new_entry.record = statement;
    new_entry.state_since = now;
    new_entry.learn_order = ++last_learn_order_;
    add_to_indexes(new_entry.record);
    return true;
}

void member_store::record_contact(std::uint64_t nonce, time_point now)
{
    auto it = entries_.find(nonce);
    if (it != entries_.end())
        it->second.last_contact = now;
}

bool member_store::had_contact_after(std::uint64_t nonce, time_point time) const
{
    const auto* it = find(nonce);
    return it != nullptr && it->last_contact && *it->last_contact > time;
}

void member_store::set_state(
    std::uint64_t nonce, member_state state, time_point now)
{
    auto& target = entries_.at(nonce);
    auto record = target.record;
    record.state = state;
    replace(target, record, now);
}

bool member_store::add_report(const suspicion& report, time_point now)
{
    auto it = entries_.find(report.subject);
    if (it == entries_.end())
        return false;
    auto& subject = it->second;
    if (subject.record.state == member_state::gone ||
        subject.record.incarnation != report.incarnation)
        return false;
    reported_nonces_.insert(report.subject);
    return subject.reports.emplace(report.reporter, now).second;
}

void member_store::remove_report(std::uint64_t reporter, std::uint64_t subject)
{
    auto it = entries_.find(subject);
    if (it != entries_.end())
        it->second.reports.erase(reporter);
}

void member_store::remove_reports_before(time_point cutoff)
{
    for (auto it = reported_nonces_.begin(); it != reported_nonces_.end();)
    {
        auto subject = entries_.find(*it);
        bool has_no_reports = subject == entries_.end();
        if (!has_no_reports)
        {
            std::erase_if(
                subject->second.reports,
                [&](const auto& report) { return report.second < cutoff; });
            has_no_reports = subject->second.reports.empty();
        }
        it = has_no_reports ? reported_nonces_.erase(it) : std::next(it);
    }
}

void member_store::restart_after_pause(time_point now)
{
    for (auto& [nonce, it] : entries_)
    {
        it.state_since = now;
        it.reports.clear();
    }
    reported_nonces_.clear();
}

void member_store::erase(std::uint64_t nonce)
{
    auto it = entries_.find(nonce);
    assert(it != entries_.end());
    remove_from_indexes(it->second.record);
    entries_.erase(it);
}

const member_store::entry* member_store::find(std::uint64_t nonce) const
{
    auto it = entries_.find(nonce);
    return it == entries_.end() ? nullptr : &it->second;
}

const member* member_store::ordinal_holder(ordinal index) const
{
    if (index == self_.index)
        return &self_;
    auto it = nonces_by_ordinal_.find(index);
    if (it == nonces_by_ordinal_.end())
        return nullptr;
    const entry* best = nullptr;
    for (auto nonce : it->second)
    {
        const auto& candidate = entries_.at(nonce);
        bool is_better = best == nullptr ||
                         candidate.record.state < best->record.state ||
                         (candidate.record.state == best->record.state &&
                          candidate.learn_order > best->learn_order);
        if (is_better)
            best = &candidate;
    }
    return best == nullptr ? nullptr : &best->record;
}

std::vector<std::uint64_t>
member_store::nonces_at(const endpoint& peer_endpoint) const
{
    auto it = nonces_by_endpoint_.find(peer_endpoint);
    return it == nonces_by_endpoint_.end() ? std::vector<std::uint64_t>()
                                           : it->second;
}

std::size_t member_store::count(member_state state) const
{
    return state_counts_[state_index(state)];
}

void member_store::toggle_in_digest(const member& record)
{
    if (record.state == member_state::gone)
        return;
    std::uint64_t fields[] = {
        record.nonce, record.incarnation, state_index(record.state)};
    digest_ ^= XXH3_64bits(fields, sizeof fields);
}

/** Processes that are gone are counted by state and listed as unreachable, but
    are in no other index. */
void member_store::remove_from_indexes(const member& record)
{
    --state_counts_[state_index(record.state)];
    unreachable_nonces_.erase(record.nonce);
    toggle_in_digest(record);
    if (record.state == member_state::gone)
        return;
    std::erase(nonces_by_ordinal_[record.index], record.nonce);
    if (nonces_by_ordinal_[record.index].empty())
        nonces_by_ordinal_.erase(record.index);
    std::erase(nonces_by_endpoint_[record.listen_endpoint], record.nonce);
    if (nonces_by_endpoint_[record.listen_endpoint].empty())
        nonces_by_endpoint_.erase(record.listen_endpoint);
}

void member_store::add_to_indexes(const member& record)
{
    ++state_counts_[state_index(record.state)];
    if (record.state >= member_state::suspect)
        unreachable_nonces_.insert(record.nonce);
    toggle_in_digest(record);
    if (record.state == member_state::gone)
        return;
    nonces_by_ordinal_[record.index].push_back(record.nonce);
    nonces_by_endpoint_[record.listen_endpoint].push_back(record.nonce);
}

void member_store::replace(entry& target, const member& record, time_point now)
{
    remove_from_indexes(target.record);
    if (record.incarnation != target.record.incarnation)
        target.reports.clear();
    if (record.state != target.record.state)
        target.state_since = now;
    target.record = record;
    add_to_indexes(target.record);
}

} // namespace turmericlane
