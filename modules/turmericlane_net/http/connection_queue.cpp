#include "connection_queue.h"

namespace turmericlane
{

namespace
{

thread_local bool is_refusing_connection = false;

} // namespace

connection_queue::connection_queue(
    std::size_t threads,
    std::size_t max_waiting,
    std::atomic<std::size_t>& waiting_count,
    std::function<void()> on_waiting)
    : pool_(threads)
    , threads_(threads)
    , max_waiting_(max_waiting)
    , waiting_count_(waiting_count)
    , on_waiting_(std::move(on_waiting))
{
}

// Only the accepting thread calls it.
void connection_queue::enqueue(std::function<void()> task)
{
    if (task_count_ >= threads_ + max_waiting_)
    {
        is_refusing_connection = true;
        task();
        is_refusing_connection = false;
        return;
    }
    const auto has_to_wait = ++task_count_ > threads_;
    if (has_to_wait)
        ++waiting_count_;
    pool_.enqueue(
        [this, has_to_wait, task = std::move(task)]
        {
            if (has_to_wait)
                --waiting_count_;
            task();
            --task_count_;
        });
    if (has_to_wait)
        on_waiting_();
}

void connection_queue::shutdown()
{
    pool_.shutdown();
}

bool connection_queue::is_refusing() noexcept
{
    return is_refusing_connection;
}

} // namespace turmericlane
