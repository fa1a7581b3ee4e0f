#include "member_store.h"

#include <cassert>
#include <xxhash.h>

namespace turmericlane
{

namespace
{

bool wins(const member& statement, const member& known)
{
    return std::pair(statement.incarnation, statement.state) >
           std::pair(known.incarnation, known.state);
}

std::size_t index_of(member_state state)
{
    return static_cast<std::size_t>(state);
}

} // namespace

member_store::member_store(const member& self, std::size_t capacity)
    : self_(self)
    , capacity_(capacity)
{
    assert(self.nonce != 0);
    add_to_digest(self_);
}

void member_store::set_self(std::uint32_t incarnation, member_state state)
{
    assert(incarnation >= self_.incarnation);
    add_to_digest(self_);
    self_.incarnation = incarnation;
    self_.state = state;
    add_to_digest(self_);
}

bool member_store::merge(const member& statement, time_point now)
{
    if (statement.nonce == 0 || statement.nonce == self_.nonce)
        return false;
    auto it = entries_.find(statement.nonce);
    if (it != entries_.end())
    {
        if (!wins(statement, it->second.value))
            return false;
        replace(it->second, statement, now);
        return true;
    }
    // A gone process that is not known needs no record. Taking one would let
    // records of gone processes go round for ever.
    if (statement.state == member_state::gone || entries_.size() >= capacity_)
        return false;
    auto& made = entries_[statement.nonce];
    made.value = statement;
    made.since = now;
    made.learned = ++last_learned_;
    enter_indexes(made.value);
    return true;
}

void member_store::heard(std::uint64_t nonce, time_point now)
{
    auto it = entries_.find(nonce);
    if (it != entries_.end())
        it->second.heard = now;
}

bool member_store::heard_since(std::uint64_t nonce, time_point when) const
{
    const auto* it = find(nonce);
    return it != nullptr && it->heard && *it->heard > when;
}

void member_store::set_state(
    std::uint64_t nonce, member_state state, time_point now)
{
    auto& known = entries_.at(nonce);
    auto value = known.value;
    value.state = state;
    replace(known, value, now);
}

bool member_store::add_report(const suspicion& report, time_point now)
{
    auto it = entries_.find(report.subject);
    if (it == entries_.end())
        return false;
    auto& known = it->second;
    if (known.value.state == member_state::gone ||
        known.value.incarnation != report.incarnation)
        return false;
    reported_.insert(report.subject);
    return known.reports.emplace(report.reporter, now).second;
}

void member_store::remove_report(std::uint64_t reporter, std::uint64_t subject)
{
    auto it = entries_.find(subject);
    if (it != entries_.end())
        it->second.reports.erase(reporter);
}

void member_store::drop_reports(time_point before)
{
    for (auto it = reported_.begin(); it != reported_.end();)
    {
        auto known = entries_.find(*it);
        bool empty = known == entries_.end();
        if (!empty)
        {
            std::erase_if(
                known->second.reports,
                [&](const auto& report) { return report.second < before; });
            empty = known->second.reports.empty();
        }
        it = empty ? reported_.erase(it) : std::next(it);
    }
}

void member_store::restart_spans(time_point now)
{
    for (auto& [nonce, it] : entries_)
    {
        it.since = now;
        it.reports.clear();
    }
    reported_.clear();
}

void member_store::erase(std::uint64_t nonce)
{
    auto it = entries_.find(nonce);
    assert(it != entries_.end());
    leave_indexes(it->second.value);
    entries_.erase(it);
}

const member_store::entry* member_store::find(std::uint64_t nonce) const
{
    auto it = entries_.find(nonce);
    return it == entries_.end() ? nullptr : &it->second;
}

const member* member_store::in_charge(ordinal index) const
{
    if (index == self_.index)
        return &self_;
    auto it = by_ordinal_.find(index);
    if (it == by_ordinal_.end())
        return nullptr;
    const entry* best = nullptr;
    for (auto nonce : it->second)
    {
        const auto& candidate = entries_.at(nonce);
        bool better = best == nullptr ||
                      candidate.value.state < best->value.state ||
                      (candidate.value.state == best->value.state &&
                       candidate.learned > best->learned);
        if (better)
            best = &candidate;
    }
    return best == nullptr ? nullptr : &best->value;
}

std::vector<std::uint64_t> member_store::at(const endpoint& where) const
{
    auto it = by_endpoint_.find(where);
    return it == by_endpoint_.end() ? std::vector<std::uint64_t>() : it->second;
}

std::size_t member_store::count(member_state state) const
{
    return counts_[index_of(state)];
}

void member_store::add_to_digest(const member& value)
{
    if (value.state == member_state::gone)
        return;
    std::uint64_t fields[] = {
        value.nonce, value.incarnation, index_of(value.state)};
    digest_ ^= XXH3_64bits(fields, sizeof fields);
}

/** Processes that are gone are counted, but are in no index. */
void member_store::leave_indexes(const member& value)
{
    --counts_[index_of(value.state)];
    unreachable_.erase(value.nonce);
    add_to_digest(value);
    if (value.state == member_state::gone)
        return;
    std::erase(by_ordinal_[value.index], value.nonce);
    if (by_ordinal_[value.index].empty())
        by_ordinal_.erase(value.index);
    std::erase(by_endpoint_[value.where], value.nonce);
    if (by_endpoint_[value.where].empty())
        by_endpoint_.erase(value.where);
}

void member_store::enter_indexes(const member& value)
{
    ++counts_[index_of(value.state)];
    if (value.state >= member_state::suspect)
        unreachable_.insert(value.nonce);
    add_to_digest(value);
    if (value.state == member_state::gone)
        return;
    by_ordinal_[value.index].push_back(value.nonce);
    by_endpoint_[value.where].push_back(value.nonce);
}

void member_store::replace(entry& known, const member& value, time_point now)
{
    leave_indexes(known.value);
    if (value.incarnation != known.value.incarnation)
        known.reports.clear();
    if (value.state != known.value.state)
        known.since = now;
    known.value = value;
    enter_indexes(known.value);
}

} // namespace turmericlane
