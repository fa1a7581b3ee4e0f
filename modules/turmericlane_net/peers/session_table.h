#pragma once

#include "peer_session.h"

#include <map>
#include <memory>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace turmericlane
{

/** The sessions of an instance by number, and the open ones by ordinal and by
    the address that was connected to. Any thread may call.

    @see peer_network
*/
class session_table
{
public:
    using session_pointer = std::shared_ptr<peer_session>;

    /** Adds a session that is not open yet.
        @returns false if the table holds limit sessions already */
    bool add(const session_pointer& session, std::size_t limit);

    /** Makes a session that became open available for sending. */
    void open(const session_pointer& session);

    /** Removes a session. */
    void remove(const session_pointer& session);

    /** Sends through the open session of that ordinal. The sessions of the
        process that connected last come first, in the order in which they were
        opened, so that frames stay in order. */
    bool send(ordinal to, const encoded_message& message) const;

    /** Sends through the open session to that address. */
    bool send(const peer_address& to, const encoded_message& message) const;

    /** Sends through the open session of that number. */
    bool send(std::uint64_t session, const encoded_message& message) const;

    /** Returns the session of that number, or null. */
    session_pointer find(std::uint64_t session) const;

    /** True if that ordinal has an open session. */
    bool connected(ordinal with) const;

    /** Number of open sessions. */
    std::size_t open_count() const;

    /** Every session, open or not. */
    std::vector<session_pointer> all() const;

private:
    mutable std::shared_mutex mutex_;
    std::unordered_map<std::uint64_t, session_pointer> all_;
    std::unordered_map<ordinal, std::vector<session_pointer>> by_ordinal_;
    std::map<peer_address, session_pointer> by_address_;
    std::size_t open_count_ = 0;
};

} // namespace turmericlane
