#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace turmericlane
{

/** Observer of an event_loop, called on its thread between the posted tasks.

    @see event_loop
*/
class event_loop_listener
{
public:
    virtual ~event_loop_listener() = default;

    /** Called after each batch of tasks and when its wake-up is due.
        @returns when to be called next; time_point::max() if it need not be
                 called */
    virtual time_point on_iteration() = 0;

    /** The process was paused for that long, for example by SIGSTOP. Everything
        that it learned before is out of date. */
    virtual void on_pause(duration length) = 0;
};

/** Runs tasks in order on one thread, which owns all decision state.

    Other threads post tasks, so the decision code needs no locks.

    @see event_loop_listener
*/
class event_loop
{
public:
    using task = std::function<void()>;

    /** @param time_source  clock; must outlive the loop
        @param pause_limit  a longer gap between two iterations counts as a
                            pause of the process */
    event_loop(const clock& time_source, duration pause_limit);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Starts the thread.
        @param listener  must outlive the loop's thread */
    void start(event_loop_listener& listener);

    /** Runs the tasks posted so far and joins the thread. */
    void stop();

    /** Adds a task. Any thread may call. Tasks posted after stop are discarded.
        @returns false if the loop has stopped */
    bool post(task new_task);

    /** Runs a task on the loop and waits until it has ended. Must not be called
        on the loop's thread.
        @returns false if the loop has stopped and the task did not run */
    bool run_and_wait(const task& new_task);

private:
    void run();
    bool take_tasks(std::vector<task>& due_tasks, time_point wakeup);
    void detect_pause();

    const clock& clock_;
    duration pause_limit_;
    event_loop_listener* listener_ = nullptr;
    std::mutex mutex_;
    std::condition_variable tasks_changed_;
    std::vector<task> tasks_;
    bool is_stopping_ = false;
    bool is_stopped_ = true;
    time_point last_iteration_{};
    std::thread thread_;
};

} // namespace turmericlane
