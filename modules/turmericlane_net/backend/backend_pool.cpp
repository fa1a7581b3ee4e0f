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

// The upper bits of a job's id are the number of its server, so that a cancel
// finds the server without a table of jobs.
constexpr unsigned server_shift = 40;
constexpr backend_job_id sequence_mask =
    (backend_job_id{1} << server_shift) - 1;

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
    using address = std::pair<std::string, std::uint16_t>;

    implementation(const clock& time, std::chrono::milliseconds connect_timeout)
        : time_(time)
        , connect_timeout_(connect_timeout)
    {
    }

    server find_or_add(const std::string& host, std::uint16_t port)
    {
        address key(host, port);
        {
            std::shared_lock lock(mutex_);
            auto it = servers_.find(key);
            if (it != servers_.end())
                return it->second;
        }
        std::unique_lock lock(mutex_);
        auto [it, added] = servers_.try_emplace(std::move(key));
        if (added)
        {
            it->second.number = ++last_server_;
            it->second.queue = std::make_shared<backend_server_queue>(
                host, port, time_, connect_timeout_);
            if (stopped_)
                it->second.queue->retire();
            by_number_.emplace(it->second.number, it->second.queue);
        }
        return it->second;
    }

    queue_pointer find(backend_job_id id) const
    {
        std::shared_lock lock(mutex_);
        auto it = by_number_.find(id >> server_shift);
        return it == by_number_.end() ? nullptr : it->second;
    }

    void forget(const address& key)
    {
        std::vector<queue_pointer> ended;
        {
            std::unique_lock lock(mutex_);
            auto it = servers_.find(key);
            if (it == servers_.end())
                return;
            it->second.queue->retire();
            servers_.erase(it);
            // Retired queues of earlier calls, once their jobs have ended.
            for (auto old = by_number_.begin(); old != by_number_.end();)
            {
                bool known = is_known(old->first);
                if (known || !old->second->idle())
                {
                    ++old;
                    continue;
                }
                ended.push_back(old->second);
                old = by_number_.erase(old);
            }
        }
        for (auto& it : ended)
            it->join();
    }

    std::vector<queue_pointer> all() const
    {
        std::shared_lock lock(mutex_);
        std::vector<queue_pointer> made;
        made.reserve(by_number_.size());
        for (const auto& [number, queue] : by_number_)
            made.push_back(queue);
        return made;
    }

    void stop()
    {
        {
            std::unique_lock lock(mutex_);
            stopped_ = true;
        }
        auto queues = all();
        for (auto& it : queues)
            it->stop();
        for (auto& it : queues)
            it->join();
    }

    std::atomic<backend_job_id> last_job_{0};

private:
    bool is_known(backend_job_id number) const
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
    std::map<address, server> servers_;
    std::unordered_map<backend_job_id, queue_pointer> by_number_;
    backend_job_id last_server_ = 0;
    bool stopped_ = false;
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
    const std::string& host, std::uint16_t port, std::size_t connections)
{
    implementation_->find_or_add(host, port).queue->set_limit(connections);
}

void backend_pool::forget(const std::string& host, std::uint16_t port)
{
    implementation_->forget({host, port});
}

backend_job_id backend_pool::submit(
    const std::string& host, std::uint16_t port, backend_job job)
{
    auto server = implementation_->find_or_add(host, port);
    auto sequence = ++implementation_->last_job_ & sequence_mask;
    auto id = (server.number << server_shift) | sequence;
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

std::size_t backend_pool::pending() const
{
    std::size_t total = 0;
    for (const auto& it : implementation_->all())
        total += it->pending();
    return total;
}

std::size_t backend_pool::connections() const
{
    std::size_t total = 0;
    for (const auto& it : implementation_->all())
        total += it->connections();
    return total;
}

} // namespace turmericlane
