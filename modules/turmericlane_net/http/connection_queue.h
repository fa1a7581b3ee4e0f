#pragma once

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <functional>

namespace turmericlane
{

/** The threads of the HTTP server and the accepted connections that wait for
    one of them.

    The library's own queue has no limit, so that connections that wait would
    use up the descriptors of the process. Here a connection above the limit is
    closed as soon as it is accepted.

    @see frontend_server
*/
class connection_queue final : public httplib::TaskQueue
{
public:
    /** @param max_waiting    connections that may wait for a thread
        @param waiting_count  set to their number; must outlive the queue
        @param on_waiting     called when a connection has to wait */
    connection_queue(
        std::size_t threads,
        std::size_t max_waiting,
        std::atomic<std::size_t>& waiting_count,
        std::function<void()> on_waiting);

    /** Runs the task in a thread once one is free. */
    void enqueue(std::function<void()> task) override;

    /** Runs the waiting tasks and joins the threads. */
    void shutdown() override;

    /** True in a task that runs only to close its connection. */
    static bool is_refusing() noexcept;

private:
    httplib::ThreadPool pool_;
    const std::size_t threads_;
    const std::size_t max_waiting_;
    std::atomic<std::size_t>& waiting_count_;
    std::function<void()> on_waiting_;
    /** Tasks that wait or run. */
    std::atomic<std::size_t> task_count_ = 0;
};

} // namespace turmericlane
