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

    Each connection has a thread. A new one starts when a job finds no idle
    connection and the limit allows another. Any thread may call.

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

    /** Sets how many connections may be open; at least 1. */
    void set_connection_limit(std::size_t limit);

    /** Queues a job; ends it with not_sent if the queue is closed. */
    void submit(backend_job_id id, backend_job job);

    /** Cancels a job; see backend_pool::cancel. */
    void cancel(backend_job_id id);

    /** Accepts no more jobs. Queued jobs still run; then the threads end. */
    void close();

    /** Closes the queue and ends queued jobs with not_sent; running ones
        continue. */
    void stop();

    /** Waits until the threads have ended. Must be called after close or
        stop. */
    void join();

    /** True if no thread is running. */
    bool has_no_threads() const;

    /** Returns the number of jobs that are queued or running. */
    std::size_t pending_job_count() const;

    /** Returns the number of connections, each of which has a running
        thread. */
    std::size_t connection_count() const;

private:
    struct queue_item
    {
        backend_job_id id = 0;
        backend_job job;
        /** Job that this POST /cancel is sent for; 0 for other jobs. */
        backend_job_id job_to_cancel = 0;
    };
    struct worker
    {
        std::thread thread;
        /** The job that is running; 0 for none. */
        backend_job_id job_id = 0;
        std::string job_request_id;
        time_point job_deadline;
        std::atomic<bool> is_cancelled = false;
        bool is_finished = false;
    };

    void wake_or_start_worker();
    void run_worker(worker& current_worker);
    bool take_job(
        std::unique_lock<std::mutex>& lock,
        worker& current_worker,
        queue_item& item);
    void finish_job(
        worker& current_worker, queue_item& item, exchange_result result);
    worker* find_worker(backend_job_id id);
    void queue_cancel(const worker& target);

    const std::string host_;
    const std::uint16_t port_;
    const clock& time_;
    const std::chrono::milliseconds connect_timeout_;

    mutable std::mutex mutex_;
    std::condition_variable state_changed_;
    // Guarded by mutex_.
    std::deque<queue_item> queue_;
    std::list<worker> workers_;
    std::size_t connection_limit_ = 1;
    std::size_t thread_count_ = 0;
    std::size_t idle_thread_count_ = 0;
    std::size_t running_job_count_ = 0;
    bool is_closed_ = false;
};

} // namespace turmericlane
