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

/** A pool of HTTP connections to backend servers.

    Each server has a queue of jobs and up to a given number of kept-alive
    connections. Each connection has one thread, which starts when a job finds
    no idle connection. Nothing is ever sent twice: if a connection turns out to
    be broken, its job ends with connection_lost.

    Any thread may call; stop must not be called from a completion handler.

    @see backend_job
*/
class backend_pool
{
public:
    /** @param time             real-time clock of the deadlines; must outlive
                                the pool
        @param connect_timeout  limit for one connect, besides the job's
                                deadline */
    explicit backend_pool(
        const clock& time,
        std::chrono::milliseconds connect_timeout =
            std::chrono::milliseconds(1000));

    /** Stops the pool. */
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    /** Sets how many connections to a server may be open; at least 1, which is
        also the default. Lowering the limit closes surplus connections when
        they become idle. */
    void set_connection_limit(
        const std::string& host, std::uint16_t port, std::size_t limit);

    /** Removes a server: closes its idle connections, and the others when its
        jobs have ended. A later submit adds the server again. */
    void remove_server(const std::string& host, std::uint16_t port);

    /** Queues a job for a server.
        @param host  numeric IP address */
    backend_job_id
    submit(const std::string& host, std::uint16_t port, backend_job job);

    /** Cancels a job. A queued job ends at once with cancelled and
        may_have_been_sent false. For a running one, POST /cancel is sent on
        another connection to the same server, and the job ends with cancelled
        when the server has replied or the deadline has passed; until then the
        server may be working on it. Does nothing if the job has ended. */
    void cancel(backend_job_id id);

    /** Ends queued jobs with not_sent, waits for running ones and joins the
        threads. */
    void stop();

    /** Returns the number of jobs that are queued or running. */
    std::size_t pending_job_count() const;

    /** Returns the number of connections, each of which has a running
        thread. */
    std::size_t connection_count() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
