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

void backend_server_queue::set_limit(std::size_t connections)
{
    assert(connections >= 1);
    std::lock_guard lock(mutex_);
    limit_ = connections;
    changed_.notify_all();
}

void backend_server_queue::submit(backend_job_id id, backend_job job)
{
    assert(job.done);
    {
        std::lock_guard lock(mutex_);
        if (!retired_)
        {
            queue_.push_back({id, std::move(job), 0});
            start_worker();
            return;
        }
    }
    job.done({});
}

void backend_server_queue::cancel(backend_job_id id)
{
    backend_job removed;
    {
        std::lock_guard lock(mutex_);
        if (auto* runner = runner_of(id))
        {
            if (!runner->cancelled.exchange(true))
                queue_cancel(*runner);
            return;
        }
        auto it = std::find_if(
            queue_.begin(), queue_.end(),
            [id](const entry& queued) { return queued.id == id; });
        if (it == queue_.end())
            return;
        removed = std::move(it->job);
        queue_.erase(it);
    }
    removed.done({exchange_status::cancelled, false, 0, {}});
}

void backend_server_queue::retire()
{
    std::lock_guard lock(mutex_);
    retired_ = true;
    changed_.notify_all();
}

void backend_server_queue::stop()
{
    std::deque<entry> removed;
    {
        std::lock_guard lock(mutex_);
        retired_ = true;
        removed.swap(queue_);
        changed_.notify_all();
    }
    for (auto& it : removed)
        if (it.job.done)
            it.job.done({});
}

void backend_server_queue::join()
{
    // No worker is added to a retired queue.
    for (auto& it : workers_)
        if (it.thread.joinable())
            it.thread.join();
}

bool backend_server_queue::idle() const
{
    std::lock_guard lock(mutex_);
    return running_threads_ == 0;
}

std::size_t backend_server_queue::pending() const
{
    std::lock_guard lock(mutex_);
    return queue_.size() + running_jobs_;
}

std::size_t backend_server_queue::connections() const
{
    std::lock_guard lock(mutex_);
    return running_threads_;
}

// Wakes an idle thread for the queued job, or starts one. The caller holds
// mutex_.
void backend_server_queue::start_worker()
{
    if (queue_.size() <= idle_threads_ || running_threads_ >= limit_)
    {
        changed_.notify_one();
        return;
    }
    // Threads that ended because the limit was lowered.
    std::erase_if(
        workers_,
        [](worker& it)
        {
            if (it.finished)
                it.thread.join();
            return it.finished;
        });
    ++running_threads_;
    auto& added = workers_.emplace_back();
    added.thread = std::thread([this, &added] { run(added); });
}

void backend_server_queue::run(worker& self)
{
    backend_connection connection(host_, port_, time_, connect_timeout_);
    std::unique_lock lock(mutex_);
    entry taken;
    while (take(lock, self, taken))
    {
        lock.unlock();
        auto result = connection.exchange(taken.job, self.cancelled);
        finish(self, taken, std::move(result));
        lock.lock();
    }
    --running_threads_;
    self.finished = true;
}

// Waits for a job. Returns false if the thread has to end.
bool backend_server_queue::take(
    std::unique_lock<std::mutex>& lock, worker& self, entry& to)
{
    for (;;)
    {
        if (running_threads_ > limit_)
            return false;
        if (queue_.empty())
        {
            if (retired_)
                return false;
            ++idle_threads_;
            changed_.wait(lock);
            --idle_threads_;
            continue;
        }
        to = std::move(queue_.front());
        queue_.pop_front();
        // The job ended before its cancel could be sent.
        if (to.cancels != 0 && runner_of(to.cancels) == nullptr)
            continue;
        self.running = to.id;
        self.running_request = to.job.request_id;
        self.running_deadline = to.job.deadline;
        self.cancelled = false;
        ++running_jobs_;
        return true;
    }
}

void backend_server_queue::finish(
    worker& self, entry& taken, exchange_result result)
{
    {
        std::lock_guard lock(mutex_);
        if (self.cancelled)
        {
            result.status = exchange_status::cancelled;
            result.http_status = 0;
            result.body.clear();
        }
        self.running = 0;
        --running_jobs_;
    }
    if (taken.job.done)
        taken.job.done(std::move(result));
    taken = {};
}

// The caller holds mutex_.
backend_server_queue::worker* backend_server_queue::runner_of(backend_job_id id)
{
    for (auto& it : workers_)
        if (it.running == id && !it.finished)
            return &it;
    return nullptr;
}

// The caller holds mutex_.
void backend_server_queue::queue_cancel(const worker& of)
{
    if (retired_)
        return;
    entry added;
    added.cancels = of.running;
    added.job.path = "/cancel";
    added.job.request_id = of.running_request;
    added.job.deadline = of.running_deadline;
    queue_.push_front(std::move(added));
    start_worker();
}

} // namespace turmericlane
