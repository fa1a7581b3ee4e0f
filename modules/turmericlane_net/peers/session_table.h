#pragma once

#include "peer_session.h"

#include <map>
#include <memory>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace turmericlane
{

/** The sessions of an instance by id, and the open ones by ordinal and by the
    address that was connected to. Any thread may call.

    @see peer_network
*/
class session_table
{
public:
    using session_pointer = std::shared_ptr<peer_session>;

    /** Adds a session that is not open yet.
        @returns false if the table already holds session_limit sessions */
    bool add(const session_pointer& session, std::size_t session_limit);

    /** Makes a session, which is open now, available for sending. */
    void mark_open(const session_pointer& session);

    /** Removes a session. */
    void remove(const session_pointer& session);

    /** Sends through an open session of the instance with that ordinal.
        Sessions of the process that connected last are tried first, in the
        order in which they were opened, so that frames stay in order.
        @returns false if no session accepted the message */
    bool send(ordinal recipient, const encoded_message& message) const;

    /** Sends through the open session to that address.
        @returns false if there is none or it did not accept the message */
    bool
    send(const peer_address& recipient, const encoded_message& message) const;

    /** Sends through the session with that id.
        @returns false if there is none or it did not accept the message */
    bool send(std::uint64_t session_id, const encoded_message& message) const;

    /** Returns the session with that id, or null. */
    session_pointer find(std::uint64_t session_id) const;

    /** True if there is an open session with that instance. */
    bool has_open_session(ordinal instance) const;

    /** Returns the number of open sessions. */
    std::size_t open_count() const;

    /** Returns all sessions, open or not. */
    std::vector<session_pointer> all_sessions() const;

private:
    mutable std::shared_mutex mutex_;
    std::unordered_map<std::uint64_t, session_pointer> sessions_by_id_;
    std::unordered_map<ordinal, std::vector<session_pointer>> open_by_ordinal_;
    std::map<peer_address, session_pointer> open_by_address_;
    std::size_t open_count_ = 0;
};

} // namespace turmericlane
