#include "event_loop.h"

#include <algorithm>
#include <cassert>
#include <future>

namespace turmericlane
{

namespace
{

/** Longest sleep between two turns. It bounds how late a pause is noticed and
    must be shorter than any pause limit. */
constexpr std::chrono::milliseconds max_wait{100};

} // namespace

event_loop::event_loop(const clock& time, duration pause_limit)
    : clock_(time)
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
    stopping_ = false;
    stopped_ = false;
    last_turn_ = clock_.now();
    thread_ = std::thread([this] { run(); });
}

void event_loop::stop()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable())
        thread_.join();
}

bool event_loop::post(task added)
{
    bool first = false;
    {
        std::lock_guard lock(mutex_);
        if (stopped_)
            return false;
        first = tasks_.empty();
        tasks_.push_back(std::move(added));
    }
    if (first)
        changed_.notify_one();
    return true;
}

bool event_loop::call(const task& called)
{
    assert(std::this_thread::get_id() != thread_.get_id());
    std::promise<void> done;
    auto finished = done.get_future();
    const auto posted = post(
        [&]
        {
            called();
            done.set_value();
        });
    if (posted)
        finished.wait();
    return posted;
}

bool event_loop::take_tasks(std::vector<task>& taken, time_point wakeup)
{
    std::unique_lock lock(mutex_);
    const auto latest = std::min(wakeup, clock_.now() + max_wait);
    changed_.wait_until(
        lock, latest, [this] { return stopping_ || !tasks_.empty(); });
    taken.swap(tasks_);
    if (stopping_ && taken.empty())
        stopped_ = true;
    return !stopped_;
}

void event_loop::check_pause()
{
    const auto now = clock_.now();
    const auto gap = now - last_turn_;
    last_turn_ = now;
    if (gap > pause_limit_)
        listener_->on_pause(gap);
}

void event_loop::run()
{
    std::vector<task> taken;
    auto wakeup = clock_.now();
    while (take_tasks(taken, wakeup))
    {
        check_pause();
        for (const auto& it : taken)
            it();
        taken.clear();
        wakeup = listener_->on_turn();
    }
}

} // namespace turmericlane
