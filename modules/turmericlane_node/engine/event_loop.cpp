#include "event_loop.h"

#include <algorithm>
#include <cassert>
#include <future>

namespace turmericlane
{

namespace
{

/** Longest wait between two iterations. It bounds the delay until a pause is
    detected and must be shorter than any pause limit. */
constexpr std::chrono::milliseconds max_wait{100};

} // namespace

event_loop::event_loop(const clock& time_source, duration pause_limit)
    : clock_(time_source)
    , pause_limit_(pause_limit)
{
    assert(pause_limit > max_wait);
}

event_loop::~event_loop()
{
    stop();
}

void event_loop::start(event_loop_listener& listener)
{
    assert(!thread_.joinable());
    listener_ = &listener;
    is_stopping_ = false;
    is_stopped_ = false;
    last_iteration_ = clock_.now();
    thread_ = std::thread([this] { run(); });
}

void event_loop::stop()
{
    {
        std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    tasks_changed_.notify_one();
    if (thread_.joinable())
        thread_.join();
}

bool event_loop::post(task new_task)
{
    bool was_empty = false;
    {
        std::lock_guard lock(mutex_);
        if (is_stopped_)
            return false;
        was_empty = tasks_.empty();
        tasks_.push_back(std::move(new_task));
    }
    if (was_empty)
        tasks_changed_.notify_one();
    return true;
}

bool event_loop::run_and_wait(const task& new_task)
{
    assert(std::this_thread::get_id() != thread_.get_id());
    std::promise<void> completion;
    auto completion_future = completion.get_future();
    const auto is_posted = post(
        [&]
        {
            new_task();
            completion.set_value();
        });
    if (is_posted)
        completion_future.wait();
    return is_posted;
}

bool event_loop::take_tasks(std::vector<task>& due_tasks, time_point wakeup)
{
    std::unique_lock lock(mutex_);
    const auto latest_wakeup = std::min(wakeup, clock_.now() + max_wait);
    tasks_changed_.wait_until(
        lock, latest_wakeup,
        [this] { return is_stopping_ || !tasks_.empty(); });
    due_tasks.swap(tasks_);
    if (is_stopping_ && due_tasks.empty())
        is_stopped_ = true;
    return !is_stopped_;
}

void event_loop::detect_pause()
{
    const auto now = clock_.now();
    const auto gap = now - last_iteration_;
    last_iteration_ = now;
    if (gap > pause_limit_)
        listener_->on_pause(gap);
}

void event_loop::run()
{
    std::vector<task> due_tasks;
    auto wakeup = clock_.now();
    while (take_tasks(due_tasks, wakeup))
    {
        detect_pause();
        for (const auto& it : due_tasks)
            it();
        due_tasks.clear();
        wakeup = listener_->on_iteration();
    }
}

} // namespace turmericlane
