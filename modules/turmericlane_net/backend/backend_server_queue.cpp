#include "backend_server_queue.h"

#include "backend_connection.h"

#include <algorithm>
#include <cassert>

namespace turmericlane
{

backend_server_queue::backend_server_queue(
    std::string host,
    std::uint16_t port,
    const clock& time,
    std::chrono::milliseconds connect_timeout)
    : host_(std::move(host))
    , port_(port)
    , time_(time)
    , connect_timeout_(connect_timeout)
{
}

backend_server_queue::~backend_server_queue()
{
    stop();
    join();
}

void backend_server_queue::set_connection_limit(std::size_t limit)
{
    assert(limit >= 1);
    std::lock_guard lock(mutex_);
    connection_limit_ = limit;
    state_changed_.notify_all();
}

void backend_server_queue::submit(backend_job_id id, backend_job job)
{
    assert(job.completion_handler);
    {
        std::lock_guard lock(mutex_);
        if (!is_closed_)
        {
            queue_.push_back({id, std::move(job), 0});
            wake_or_start_worker();
            return;
        }
    }
    job.completion_handler({});
}

void backend_server_queue::cancel(backend_job_id id)
{
    backend_job removed_job;
    {
        std::lock_guard lock(mutex_);
        if (auto* running_worker = find_worker(id))
        {
            if (!running_worker->is_cancelled.exchange(true))
                queue_cancel(*running_worker);
            return;
        }
        auto it = std::find_if(
            queue_.begin(), queue_.end(),
            [id](const queue_item& item) { return item.id == id; });
        if (it == queue_.end())
            return;
        removed_job = std::move(it->job);
        queue_.erase(it);
    }
    removed_job.completion_handler({exchange_status::cancelled, false, 0, {}});
}

void backend_server_queue::close()
{
    std::lock_guard lock(mutex_);
    is_closed_ = true;
    state_changed_.notify_all();
}

void backend_server_queue::stop()
{
    std::deque<queue_item> removed_items;
    {
        std::lock_guard lock(mutex_);
        is_closed_ = true;
        removed_items.swap(queue_);
        state_changed_.notify_all();
    }
    for (auto& it : removed_items)
        if (it.job.completion_handler)
            it.job.completion_handler({});
}

void backend_server_queue::join()
{
    // Without mutex_: no worker is added to a closed queue.
    for (auto& it : workers_)
        if (it.thread.joinable())
            it.thread.join();
}

bool backend_server_queue::has_no_threads() const
{
    std::lock_guard lock(mutex_);
    return thread_count_ == 0;
}

std::size_t backend_server_queue::pending_job_count() const
{
    std::lock_guard lock(mutex_);
    return queue_.size() + running_job_count_;
}

std::size_t backend_server_queue::connection_count() const
{
    std::lock_guard lock(mutex_);
    return thread_count_;
}

// Wakes an idle thread for the queued job, or starts a thread if none is idle
// and the limit allows it. The caller holds mutex_.
void backend_server_queue::wake_or_start_worker()
{
    if (queue_.size() <= idle_thread_count_ ||
        thread_count_ >= connection_limit_)
    {
        state_changed_.notify_one();
        return;
    }
    // Removes threads that ended because the limit was lowered.
    std::erase_if(
        workers_,
        [](worker& it)
        {
            if (it.is_finished)
                it.thread.join();
            return it.is_finished;
        });
    ++thread_count_;
    auto& new_worker = workers_.emplace_back();
    new_worker.thread =
        std::thread([this, &new_worker] { run_worker(new_worker); });
}

void backend_server_queue::run_worker(worker& current_worker)
{
    backend_connection connection(host_, port_, time_, connect_timeout_);
    std::unique_lock lock(mutex_);
    queue_item item;
    while (take_job(lock, current_worker, item))
    {
        lock.unlock();
        auto result =
            connection.exchange(item.job, current_worker.is_cancelled);
        finish_job(current_worker, item, std::move(result));
        lock.lock();
    }
    --thread_count_;
    current_worker.is_finished = true;
}

// Waits for a job and removes it from the queue. Returns false if the thread
// has to end.
bool backend_server_queue::take_job(
    std::unique_lock<std::mutex>& lock,
    worker& current_worker,
    queue_item& item)
{
    for (;;)
    {
        if (thread_count_ > connection_limit_)
            return false;
        if (queue_.empty())
        {
            if (is_closed_)
                return false;
            ++idle_thread_count_;
            state_changed_.wait(lock);
            --idle_thread_count_;
            continue;
        }
        item = std::move(queue_.front());
        queue_.pop_front();
        // The job to cancel ended before this POST /cancel could be sent.
        if (item.job_to_cancel != 0 &&
            find_worker(item.job_to_cancel) == nullptr)
            continue;
        current_worker.job_id = item.id;
        current_worker.job_request_id = item.job.request_id;
        current_worker.job_deadline = item.job.deadline;
        current_worker.is_cancelled = false;
        ++running_job_count_;
        return true;
    }
}

void backend_server_queue::finish_job(
    worker& current_worker, queue_item& item, exchange_result result)
{
    {
        std::lock_guard lock(mutex_);
        if (current_worker.is_cancelled)
        {
            result.status = exchange_status::cancelled;
            result.http_status = 0;
            result.body.clear();
        }
        current_worker.job_id = 0;
        --running_job_count_;
    }
    if (item.job.completion_handler)
        item.job.completion_handler(std::move(result));
    item = {};
}

// Returns the worker that runs a job, or null. The caller holds mutex_.
backend_server_queue::worker*
backend_server_queue::find_worker(backend_job_id id)
{
    for (auto& it : workers_)
        if (it.job_id == id && !it.is_finished)
            return &it;
    return nullptr;
}

// Queues a POST /cancel for the job that a worker runs. The caller holds
// mutex_.
void backend_server_queue::queue_cancel(const worker& target)
{
    if (is_closed_)
        return;
    queue_item cancel_item;
    cancel_item.job_to_cancel = target.job_id;
    cancel_item.job.path = "/cancel";
    cancel_item.job.request_id = target.job_request_id;
    cancel_item.job.deadline = target.job_deadline;
    queue_.push_front(std::move(cancel_item));
    wake_or_start_worker();
}

} // namespace turmericlane
