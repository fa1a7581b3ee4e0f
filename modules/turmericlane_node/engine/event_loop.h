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

/** What runs on an event_loop besides the posted tasks.

    @see event_loop
*/
class event_loop_listener
{
public:
    virtual ~event_loop_listener() = default;

    /** Called after each batch of tasks and when a wake-up is due.
        @returns when to be called again; time_point::max() for never */
    virtual time_point on_iteration() = 0;

    /** The process stood still for that long, for example by a stop signal:
        everything that was learned before is out of date. */
    virtual void on_pause(duration length) = 0;
};

/** One thread that runs tasks in order, and the owner of all decision state.

    Other threads post tasks; the decisions therefore need no locks.

    @see event_loop_listener
*/
class event_loop
{
public:
    using task = std::function<void()>;

    /** @param time       clock; must outlive the loop
        @param pause_limit  a gap between two turns over this counts as a
                            pause of the process */
    event_loop(const clock& time_source, duration pause_limit);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Starts the thread.
        @param listener  must outlive the loop's thread */
    void start(event_loop_listener& listener);

    /** Runs what was posted so far and joins the thread. */
    void stop();

    /** Adds a task; any thread may call. Tasks posted after stop are
        discarded.
        @returns false if the loop has stopped */
    bool post(task new_task);

    /** Runs a task on the loop and waits for its end. Must not be called from
        the loop's own thread.
        @returns false if the loop has stopped and the task didn't run */
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
