#include "backend_pool.h"

#include "backend_server_queue.h"

#include <atomic>
#include <cassert>
#include <map>
#include <shared_mutex>
#include <unordered_map>

namespace turmericlane
{

namespace
{

// The upper bits of a job's id are the number of its server, so that cancel
// finds the server's queue without a table of jobs.
constexpr unsigned server_number_shift = 40;
constexpr backend_job_id sequence_mask =
    (backend_job_id{1} << server_number_shift) - 1;

} // namespace

class backend_pool::implementation
{
public:
    using queue_pointer = std::shared_ptr<backend_server_queue>;
    struct server
    {
        backend_job_id number = 0;
        queue_pointer queue;
    };
    using server_address = std::pair<std::string, std::uint16_t>;

    implementation(const clock& time, std::chrono::milliseconds connect_timeout)
        : time_(time)
        , connect_timeout_(connect_timeout)
    {
    }

    server find_or_add(const std::string& host, std::uint16_t port)
    {
        server_address key(host, port);
        {
            std::shared_lock lock(mutex_);
            auto it = servers_.find(key);
            if (it != servers_.end())
                return it->second;
        }
        std::unique_lock lock(mutex_);
        auto [it, was_added] = servers_.try_emplace(std::move(key));
        if (was_added)
        {
            it->second.number = ++last_server_number_;
            it->second.queue = std::make_shared<backend_server_queue>(
                host, port, time_, connect_timeout_);
            if (is_stopped_)
                it->second.queue->close();
            queues_by_number_.emplace(it->second.number, it->second.queue);
        }
        return it->second;
    }

    queue_pointer find(backend_job_id id) const
    {
        std::shared_lock lock(mutex_);
        auto it = queues_by_number_.find(id >> server_number_shift);
        return it == queues_by_number_.end() ? nullptr : it->second;
    }

    void remove_server(const server_address& key)
    {
        std::vector<queue_pointer> ended_queues;
        {
            std::unique_lock lock(mutex_);
            auto it = servers_.find(key);
            if (it == servers_.end())
                return;
            it->second.queue->close();
            servers_.erase(it);
            // Also removes queues that earlier calls closed and whose jobs have
            // ended.
            for (auto queue_it = queues_by_number_.begin();
                 queue_it != queues_by_number_.end();)
            {
                bool is_known = has_server(queue_it->first);
                if (is_known || !queue_it->second->has_no_threads())
                {
                    ++queue_it;
                    continue;
                }
                ended_queues.push_back(queue_it->second);
                queue_it = queues_by_number_.erase(queue_it);
            }
        }
        for (auto& it : ended_queues)
            it->join();
    }

    std::vector<queue_pointer> all_queues() const
    {
        std::shared_lock lock(mutex_);
        std::vector<queue_pointer> queues;
        queues.reserve(queues_by_number_.size());
        for (const auto& [number, queue] : queues_by_number_)
            queues.push_back(queue);
        return queues;
    }

    void stop()
    {
        {
            std::unique_lock lock(mutex_);
            is_stopped_ = true;
        }
        auto queues = all_queues();
        for (auto& it : queues)
            it->stop();
        for (auto& it : queues)
            it->join();
    }

    std::atomic<backend_job_id> last_job_sequence_{0};

private:
    bool has_server(backend_job_id number) const
    {
        for (const auto& [key, it] : servers_)
            if (it.number == number)
                return true;
        return false;
    }

    const clock& time_;
    const std::chrono::milliseconds connect_timeout_;
    mutable std::shared_mutex mutex_;
    // Guarded by mutex_.
    std::map<server_address, server> servers_;
    std::unordered_map<backend_job_id, queue_pointer> queues_by_number_;
    backend_job_id last_server_number_ = 0;
    bool is_stopped_ = false;
};

backend_pool::backend_pool(
    const clock& time, std::chrono::milliseconds connect_timeout)
    : implementation_(std::make_unique<implementation>(time, connect_timeout))
{
}

backend_pool::~backend_pool()
{
    stop();
}

void backend_pool::set_connection_limit(
    const std::string& host, std::uint16_t port, std::size_t limit)
{
    implementation_->find_or_add(host, port).queue->set_connection_limit(limit);
}

void backend_pool::remove_server(const std::string& host, std::uint16_t port)
{
    implementation_->remove_server({host, port});
}

backend_job_id backend_pool::submit(
    const std::string& host, std::uint16_t port, backend_job job)
{
    auto server = implementation_->find_or_add(host, port);
    auto sequence = ++implementation_->last_job_sequence_ & sequence_mask;
    auto id = (server.number << server_number_shift) | sequence;
    server.queue->submit(id, std::move(job));
    return id;
}

void backend_pool::cancel(backend_job_id id)
{
    auto queue = implementation_->find(id);
    if (queue)
        queue->cancel(id);
}

void backend_pool::stop()
{
    implementation_->stop();
}

std::size_t backend_pool::pending_job_count() const
{
    std::size_t total = 0;
    for (const auto& it : implementation_->all_queues())
        total += it->pending_job_count();
    return total;
}

std::size_t backend_pool::connection_count() const
{
    std::size_t total = 0;
    for (const auto& it : implementation_->all_queues())
        total += it->connection_count();
    return total;
}

} // namespace turmericlane
