#pragma once

#include "../http/client_connection.h"
#include "../http/protocol_names.h"
#include "answer_reader.h"

#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <unordered_map>
#include <vector>

namespace turmericlane
{

/** Identifies a connection to a searcher within this process. */
using connection_number = std::uint64_t;

/** A caller's request in the form in which it is sent to searchers. */
struct outgoing_request
{
    /** There is no request without its text.
        @param head_text  see head
        @param tail_text  see tail */
    outgoing_request(std::string head_text, std::string tail_text);

    /** Request line and the header fields that are the same in each attempt;
        not null. */
    std::shared_ptr<const std::string> head;
    /** Remaining header fields, the empty line and the body; not null. */
    std::shared_ptr<const std::string> tail;
    /** Request id; an answer that echoes another id belongs to another
        request. */
    std::string id;
    bool expects_body = true;
    /** True for a sub-request, whose answer has to be a signed success. */
    bool is_part = false;
    /** Connections that have carried the request. A late copy of the answer to
        one of its attempts may still arrive there. */
    std::vector<connection_number> used_connections;
};

/** Receives the results of a searcher_pool. Each method may call the pool. */
class pool_listener
{
public:
    virtual ~pool_listener() = default;

    /** An attempt has ended. Not called for an abandoned attempt. */
    virtual void
    attempt_ended(attempt_handle attempt, attempt_result&& result) = 0;

    /** A searcher that was out of use because it had failed accepts
        connections again. */
    virtual void
    searcher_reachable(const std::shared_ptr<searcher>& target) = 0;

    /** An answer says something about its searcher. Called before
        attempt_ended, also for an answer that broke off or that belongs to no
        open request. */
    virtual void statement_received(
        const std::shared_ptr<searcher>& target,
        const searcher_statement& statement) = 0;

    /** An answer was given up because of its size. */
    virtual void answer_too_large(const std::shared_ptr<searcher>& target) = 0;

    /** An answer that does not belong to the open request of its connection was
        dropped.
        @param has_id  false if the answer carries no id of a request */
    virtual void unmatched_answer_dropped(
        const std::shared_ptr<searcher>& target, bool has_id) = 0;
};

/** HTTP connections to searchers, opened ahead of need and bounded by each
    searcher's window.

    The pool translates attempts to HTTP and classifies the answers. One thread
    uses it.

    @see forward_engine
*/
class searcher_pool
{
public:
    /** All references must outlive the pool. */
    searcher_pool(
        event_context& loop,
        const clock& time,
        const protocol_names& names,
        response_memory& memory,
        pool_listener& listener);
    ~searcher_pool();
    searcher_pool(const searcher_pool&) = delete;
    searcher_pool& operator=(const searcher_pool&) = delete;

    /** Sends an attempt on an idle connection that has not carried the request
        yet, or on a new one. Adds it to the request's used connections. */
    void send(
        attempt_handle attempt,
        outgoing_request& request,
        const std::shared_ptr<searcher>& target,
        duration time_left);

    /** Cancels an attempt by closing its connection. */
    void abandon(attempt_handle attempt);

    /** Opens a connection to a searcher if there is none. */
    void ensure_connection(const std::shared_ptr<searcher>& target);

    /** Closes the idle connections to a searcher that has failed and opens a
        new one; pool_listener::searcher_reachable follows if it opens. */
    void probe(const std::shared_ptr<searcher>& target);

    /** Closes the idle connections to a searcher. */
    void close_idle(const std::shared_ptr<searcher>& target);

    /** Closes connections that have been idle for too long or could not be
        opened in time. To be called every few tens of milliseconds. */
    void sweep();

    /** Returns the number of connections, including those being opened. */
    std::size_t connection_count() const noexcept
    {
        return connections_.size();
    }

    /** Returns the number of connections opened since the start. */
    std::uint64_t opened_count() const noexcept
    {
        return opened_count_;
    }

private:
    class searcher_connection;

    std::shared_ptr<searcher_connection> find_free_connection(
        const searcher& target, const outgoing_request& request) const;
    std::shared_ptr<searcher_connection>
    open_connection(const std::shared_ptr<searcher>& target);
    void remove(const searcher_connection& connection);
    bool must_delay_first_request() const;

    event_context& loop_;
    const clock& clock_;
    const protocol_names& names_;
    response_memory& memory_;
    pool_listener& listener_;
    std::unordered_map<
        const searcher*,
        std::vector<std::shared_ptr<searcher_connection>>>
        connections_by_searcher_;
    std::unordered_map<
        const searcher_connection*,
        std::shared_ptr<searcher_connection>>
        connections_;
    std::unordered_map<attempt_handle, searcher_connection*>
        connections_by_attempt_;
    std::uint64_t opened_count_ = 0;
    connection_number last_connection_ = 0;
    time_point start_time_;
};

} // namespace turmericlane
