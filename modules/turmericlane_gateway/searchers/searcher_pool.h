#pragma once

#include "../http/client_connection.h"
#include "../http/protocol_names.h"

#include <turmericlane_forwarding/turmericlane_forwarding.h>

#include <unordered_map>
#include <vector>

namespace turmericlane
{

/** A caller's request in the form in which searchers get it. */
struct outgoing_request
{
    /** Request line and fields, up to those that change with each attempt. */
    std::string head;
    /** Rest of the fields, the empty line and the body. */
    std::string tail;
    /** Id that an answer has to echo. */
    std::string id;
    bool body_expected = true;
    /** The answer is one part of many: it has to be a signed success. */
    bool part = false;
};

/** Receives the results of a searcher_pool. */
class pool_listener
{
public:
    virtual ~pool_listener() = default;

    /** An attempt has ended; not called for one that was abandoned. */
    virtual void
    attempt_ended(attempt_handle attempt, attempt_result&& result) = 0;

    /** A searcher that could not be reached accepts connections again. */
    virtual void searcher_reachable(const std::shared_ptr<searcher>& which) = 0;
};

/** Connections to searchers, kept warm and bounded by each searcher's window.

    It translates attempts to HTTP and classifies the answers. One thread uses
    it.

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
        pool_listener& listener);
    ~searcher_pool();
    searcher_pool(const searcher_pool&) = delete;
    searcher_pool& operator=(const searcher_pool&) = delete;

    /** Sends an attempt on an idle connection, or on a new one. */
    void send(
        attempt_handle attempt,
        const outgoing_request& request,
        const std::shared_ptr<searcher>& target,
        duration time_left);

    /** Ends an attempt by closing its connection. */
    void abandon(attempt_handle attempt);

    /** Opens a connection if there is none. */
    void warm(const std::shared_ptr<searcher>& target);

    /** Replaces the idle connections to a searcher that has failed by a new
        one; pool_listener::searcher_reachable follows if it opens. */
    void probe(const std::shared_ptr<searcher>& target);

    /** Closes the idle connections to a searcher. */
    void close_idle(const std::shared_ptr<searcher>& target);

    /** Closes connections that have been idle for too long or could not be
        opened in time; to be called every few tens of milliseconds. */
    void sweep();

    /** Open connections. */
    std::size_t connections() const noexcept
    {
        return links_.size();
    }

    /** Connections opened since the start. */
    std::uint64_t opened() const noexcept
    {
        return opened_;
    }

private:
    class link;

    std::shared_ptr<link> idle_link(const searcher& target) const;
    std::shared_ptr<link> open_link(const std::shared_ptr<searcher>& target);
    void drop(const link& which);
    bool cautious() const;

    event_context& loop_;
    const clock& clock_;
    const protocol_names& names_;
    pool_listener& listener_;
    std::unordered_map<const searcher*, std::vector<std::shared_ptr<link>>>
        by_searcher_;
    std::unordered_map<const link*, std::shared_ptr<link>> links_;
    std::unordered_map<attempt_handle, link*> by_attempt_;
    std::uint64_t opened_ = 0;
    time_point started_;
};

} // namespace turmericlane
