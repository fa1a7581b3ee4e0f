#pragma once

#include "member.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace turmericlane
{

/** The records behind a membership_table: which statement about a process wins,
    who is in charge of an ordinal, and the digest of it all.

    A statement wins by its incarnation, then by its state: a process raises its
    own incarnation to refute what others say. Decision code without a clock of
    its own; one thread uses it at a time.

    @see membership_table
*/
class member_store
{
public:
    /** A process and what this instance knows about it. */
    struct entry
    {
        member value;
        /** When it was last heard directly. */
        std::optional<time_point> heard;
        /** When its state last changed here. */
        time_point since;
        /** Order in which processes were learned. */
        std::uint64_t learned = 0;
        /** Reporters that could not reach this incarnation, and when. */
        std::map<std::uint64_t, time_point> reports;
    };

    /** @param self      record of this process
        @param capacity  other processes remembered at most */
    member_store(const member& self, std::size_t capacity);

    /** Record of this process. */
    const member& self() const noexcept
    {
        return self_;
    }

    /** Changes the record of this process. */
    void set_self(std::uint32_t incarnation, member_state state);

    /** Takes a statement about another process.
        @returns true if it was new and was taken */
    bool merge(const member& statement, time_point now);

    /** Notes that a process was heard directly. */
    void heard(std::uint64_t nonce, time_point now);

    /** True if a process was heard directly after a point in time. It lives,
        also if its answer to a heartbeat was lost. */
    bool heard_since(std::uint64_t nonce, time_point when) const;

    /** Changes the state of a process; its incarnation stays. */
    void set_state(std::uint64_t nonce, member_state state, time_point now);

    /** Notes a report.
        @returns true if the report is new and is about the present
                 incarnation of a process that is not gone */
    bool add_report(const suspicion& report, time_point now);

    /** Withdraws a reporter's report. */
    void remove_report(std::uint64_t reporter, std::uint64_t subject);

    /** Drops reports from before a time. */
    void drop_reports(time_point before);

    /** Starts the spans of all states and reports anew, after a pause. */
    void restart_spans(time_point now);

    /** Forgets a process. */
    void erase(std::uint64_t nonce);

    /** The entry with that nonce, or null. */
    const entry* find(std::uint64_t nonce) const;

    /** Other processes by nonce. */
    const std::map<std::uint64_t, entry>& entries() const noexcept
    {
        return entries_;
    }

    /** Processes that are suspect or gone. */
    const std::set<std::uint64_t>& unreachable() const noexcept
    {
        return unreachable_;
    }

    /** The process in charge of an ordinal, or null. */
    const member* in_charge(ordinal index) const;

    /** Processes at an endpoint that are not gone. */
    std::vector<std::uint64_t> at(const endpoint& where) const;

    /** Processes, other than this one, in a state. */
    std::size_t count(member_state state) const;

    /** Digest of all records that are not gone, this process included. Equal
        tables have equal digests. */
    std::uint64_t digest() const noexcept
    {
        return digest_;
    }

private:
    void add_to_digest(const member& value);
    void leave_indexes(const member& value);
    void enter_indexes(const member& value);
    void replace(entry& known, const member& value, time_point now);

    member self_;
    std::size_t capacity_;
    std::map<std::uint64_t, entry> entries_;
    std::unordered_map<ordinal, std::vector<std::uint64_t>> by_ordinal_;
    std::map<endpoint, std::vector<std::uint64_t>> by_endpoint_;
    std::set<std::uint64_t> unreachable_;
    /** Processes with reports, so that old reports are found quickly. */
    std::set<std::uint64_t> reported_;
    std::size_t counts_[4] = {};
    std::uint64_t last_learned_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace turmericlane
