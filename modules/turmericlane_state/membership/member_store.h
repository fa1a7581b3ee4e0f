#pragma once

#include "member.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace turmericlane
{

/** Record store of a membership_table. It decides which statement about a
    process wins and which process holds an ordinal, and keeps a digest of all
    records.

    The statement with the higher incarnation wins, then the one with the later
    state. Only a process itself raises its incarnation, to refute what others
    say about it. The store does no I/O and reads no clock; one thread uses it
    at a time.

    @see membership_table
*/
class member_store
{
public:
    /** Record of another process, and what this instance knows about it. */
    struct entry
    {
        member record;
        /** When the last message arrived from the process itself. */
        std::optional<time_point> last_contact;
        /** When its state last changed in this store. */
        time_point state_since;
        /** Position in the order in which processes became known. */
        std::uint64_t learn_order = 0;
        /** Nonces of members that could not reach this incarnation, with the
            time of each report. */
        std::map<std::uint64_t, time_point> reports;
    };

    /** @param self         record of this process
        @param max_entries  other processes remembered at most */
    member_store(const member& self, std::size_t max_entries);

    /** Returns the record of this process. */
    const member& self() const noexcept
    {
        return self_;
    }

    /** Updates the record of this process; its incarnation must not fall. */
    void update_self(std::uint32_t incarnation, member_state state);

    /** Merges a statement about another process.
        @returns true if the statement was new and is now in the store */
    bool merge(const member& statement, time_point now);

    /** Records that a message arrived from the process itself. */
    void record_contact(std::uint64_t nonce, time_point now);

    /** True if a message arrived from the process itself after a point in time.
        The process is alive then, even if its acknowledgement was lost. */
    bool had_contact_after(std::uint64_t nonce, time_point time) const;

    /** Sets the state of a known process; its incarnation stays. */
    void set_state(std::uint64_t nonce, member_state state, time_point now);

    /** Adds a report that a process could not be reached.
        @returns true if the report is new and is about the current incarnation
                 of a process that is not gone */
    bool add_report(const suspicion& report, time_point now);

    /** Removes the report of one reporter about one process. */
    void remove_report(std::uint64_t reporter, std::uint64_t subject);

    /** Removes reports that are older than a point in time. */
    void remove_reports_before(time_point cutoff);

    /** Restarts the time in state of all processes and removes all reports, as
        is needed after a pause of this process. */
    void restart_after_pause(time_point now);

    /** Removes a known process. */
    void erase(std::uint64_t nonce);

    /** Returns the entry with a nonce, or null. */
    const entry* find(std::uint64_t nonce) const;

    /** Returns all other processes by nonce. */
    const std::map<std::uint64_t, entry>& entries() const noexcept
    {
        return entries_;
    }

    /** Returns the nonces of processes that are suspect or gone. */
    const std::set<std::uint64_t>& unreachable_nonces() const noexcept
    {
        return unreachable_nonces_;
    }

    /** Returns the process that holds an ordinal, this one included, or null.
        Of several, live comes before leaving before suspect, then the one that
        became known last. */
    const member* ordinal_holder(ordinal index) const;

    /** Returns the nonces of other processes at an endpoint that are not
        gone. */
    std::vector<std::uint64_t> nonces_at(const endpoint& peer_endpoint) const;

    /** Returns how many other processes are in a state. */
    std::size_t count(member_state state) const;

    /** Returns a digest of all processes that are not gone, this one included.
        Equal tables have equal digests. */
    std::uint64_t digest() const noexcept
    {
        return digest_;
    }

private:
    void toggle_in_digest(const member& record);
    void remove_from_indexes(const member& record);
    void add_to_indexes(const member& record);
    void replace(entry& target, const member& record, time_point now);

    member self_;
    std::size_t max_entries_;
    std::map<std::uint64_t, entry> entries_;
    std::unordered_map<ordinal, std::vector<std::uint64_t>> nonces_by_ordinal_;
    std::map<endpoint, std::vector<std::uint64_t>> nonces_by_endpoint_;
    std::set<std::uint64_t> unreachable_nonces_;
    /** Processes that may have reports, so that old reports are found
        quickly. */
    std::set<std::uint64_t> reported_nonces_;
    std::size_t state_counts_[4] = {};
    std::uint64_t last_learn_order_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace turmericlane
