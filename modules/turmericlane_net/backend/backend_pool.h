#pragma once

#include "backend_job.h"

#include <turmericlane_core/turmericlane_core.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace turmericlane
{

/** Connections to backend servers over HTTP.

    Each server has a queue of jobs and up to a given number of kept-alive
    connections; each connection has one thread, which starts when a job finds
    no idle one. Nothing is ever sent twice: a job on a connection that turns
   out to be broken ends with connection_lost.

    Any thread may call, except that stop is not called from done.

    @see backend_job
*/
class backend_pool
{
public:
    /** @param time             clock of the deadlines; real time
        @param connect_timeout  bound of one connect, besides the deadline */
    explicit backend_pool(
        const clock& time,
        std::chrono::milliseconds connect_timeout =
            std::chrono::milliseconds(1000));

    /** Stops the pool. */
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    /** Sets how many connections to a server may be open; at least 1. A lower
        limit closes connections when they become idle. Without this call the
        limit of a server is 1. */
    void set_connection_limit(
        const std::string& host, std::uint16_t port, std::size_t connections);

    /** Closes the idle connections to a server that left, and forgets it when
        its jobs have ended. */
    void forget(const std::string& host, std::uint16_t port);

    /** Queues a job for a server.
        @param host  numeric IP address */
    backend_job_id
    submit(const std::string& host, std::uint16_t port, backend_job job);

    /** Gives a job up. A queued job ends at once with cancelled and
        may_have_left false. For a running one POST /cancel is sent through
        another connection of the same server, and the job ends with cancelled
        when the server has answered or the deadline has passed: until then the
        server may be busy with it. Does nothing if the job has ended. */
    void cancel(backend_job_id id);

    /** Ends queued jobs with not_sent, lets running ones end, and joins the
        threads. */
    void stop();

    /** Jobs that are queued or running. */
    std::size_t pending() const;

    /** Connections that have a thread at this moment. */
    std::size_t connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
