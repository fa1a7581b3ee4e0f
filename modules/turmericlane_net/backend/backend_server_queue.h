#pragma once

#include "backend_job.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace turmericlane
{

/** The jobs and connections of one backend server.

    Each connection has a thread, which starts when a job finds none idle and
   the limit allows. Any thread may call.

    @see backend_pool
*/
class backend_server_queue
{
public:
    /** @param time  must outlive the queue */
    backend_server_queue(
        std::string host,
        std::uint16_t port,
        const clock& time,
        std::chrono::milliseconds connect_timeout);

    /** Stops and joins the threads. */
    ~backend_server_queue();
    backend_server_queue(const backend_server_queue&) = delete;
    backend_server_queue& operator=(const backend_server_queue&) = delete;

    /** Sets how many connections may be open. */
    void set_limit(std::size_t connections);

    /** Queues a job; ends it with not_sent if the queue is stopped. */
    void submit(backend_job_id id, backend_job job);

    /** Gives a job up; see backend_pool::cancel. */
    void cancel(backend_job_id id);

    /** Lets queued jobs run and idle threads end; no job may follow. */
    void retire();

    /** Ends queued jobs with not_sent; running ones go on. */
    void stop();

    /** Waits for the threads, after retire or stop. */
    void join();

    /** True if a retired queue has no thread left that runs. */
    bool idle() const;

    /** Jobs that are queued or running. */
    std::size_t pending() const;

    /** Threads that run. */
    std::size_t connections() const;

private:
    struct entry
    {
        backend_job_id id = 0;
        backend_job job;
        /** Job that this POST /cancel is about; 0 for an ordinary job. */
        backend_job_id cancels = 0;
    };
    struct worker
    {
        std::thread thread;
        backend_job_id running = 0;
        std::string running_request;
        time_point running_deadline;
        std::atomic<bool> cancelled = false;
        bool finished = false;
    };

    void start_worker();
    void run(worker& self);
    bool take(std::unique_lock<std::mutex>& lock, worker& self, entry& to);
    void finish(worker& self, entry& taken, exchange_result result);
    worker* runner_of(backend_job_id id);
    void queue_cancel(const worker& of);

    const std::string host_;
    const std::uint16_t port_;
    const clock& time_;
    const std::chrono::milliseconds connect_timeout_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    // Guarded by mutex_.
    std::deque<entry> queue_;
    std::list<worker> workers_;
    std::size_t limit_ = 1;
    std::size_t running_threads_ = 0;
    std::size_t idle_threads_ = 0;
    std::size_t running_jobs_ = 0;
    bool retired_ = false;
};

} // namespace turmericlane
