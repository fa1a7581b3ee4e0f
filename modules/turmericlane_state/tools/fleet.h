#pragma once

#include <turmericlane_state/turmericlane_state.h>

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace turmericlane::tools
{

/** Sizes, delays and fault rates of a fleet. */
struct fleet_options
{
    std::size_t instance_count = 8;
    std::size_t data_centre_count = 4;
    /** One-way delay of a message within a data centre. */
    duration local_delay = std::chrono::microseconds(250);
    /** One-way delay of a message between two data centres. */
    duration remote_delay = std::chrono::milliseconds(1);
    /** Upper bound of the random delay added to each message, which lets
        messages overtake each other. */
    duration jitter = std::chrono::microseconds(250);
    /** Share of messages that are lost, from 0 to 1. */
    double loss_rate = 0.0;
    /** Share of messages that are sent twice, from 0 to 1. */
    double duplicate_rate = 0.0;
    /** Encoded size in bytes of the bundle in a push or in the reply to a
        request. */
    std::size_t bundle_bytes = 600;
    std::uint64_t seed = 1;
    membership_limits membership;
    version_spread_limits versions;
    platform_reader_limits platform;
};

/** Counters of a fleet. */
struct fleet_counts
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t exchange_bytes = 0;
    std::uint64_t platform_reads = 0;
    /** Number of received versions that were not higher than the version in
        force. */
    std::uint64_t refused_versions = 0;
    std::uint64_t pauses = 0;
    /** Number of checks that showed that the platform has an older version. */
    std::uint64_t older_versions = 0;
};

/** Simulates the membership tables, version spread and platform readers of many
    instances in one process, on a virtual clock and a simulated network. It
    serves tests with small fleets and turmericlane_slopes.

    An index stands for an ordinal with its address. Processes with different
    nonces may run there one after another.
*/
class fleet
{
public:
    explicit fleet(const fleet_options& options);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /** Starts a process. Precondition: none runs at the index. */
    void start(std::size_t index);
    /** Ends a process without notice to its peers. */
    void crash(std::size_t index);
    /** Suspends a process; its messages are queued until resume. */
    void pause(std::size_t index);
    void resume(std::size_t index);
    /** Sets a predicate that tells which pairs of instances can exchange
        messages. */
    void connect_if(std::function<bool(std::size_t, std::size_t)> predicate);
    /** Sets the shares of messages that are lost and that are sent twice. */
    void set_fault_rates(double loss_rate, double duplicate_rate);
    /** Publishes a version on the platform. A lower one than before stands for
       a platform that came back from an older copy. */
    void publish(std::uint64_t version);
    /** Sets whether the platform sends its version even to readers that ask for
        a newer one. */
    void set_platform_pushing(bool is_pushing);
    /** Sets whether the platform answers. */
    void set_platform_up(bool is_up);
    /** Passes the platform's list of all instances that run now to an instance.
     */
    void read_list(std::size_t index);
    /** Passes a list of the instances at some indexes, running or not, to an
        instance. */
    void
    read_list(std::size_t index, std::span<const std::size_t> listed_indexes);
    /** Makes a process read the platform once, as at its start. */
    void read_platform(std::size_t index);
    /** Advances the virtual clock and runs all events that are due. */
    void run_for(duration span);

    membership_table& table(std::size_t index);
    std::uint64_t nonce(std::size_t index) const;
    bool is_running(std::size_t index) const;
    /** Returns the version in force at an instance. */
    std::uint64_t version(std::size_t index) const;
    /** Returns the time at which that version came into force. */
    time_point version_time(std::size_t index) const;
    /** Returns true if the live members in the table of each running process
        are exactly the running processes. */
    bool has_converged() const;
    time_point now() const noexcept
    {
        return clock_.now();
    }
    const fleet_counts& counts() const noexcept
    {
        return counts_;
    }

private:
    class process;

    struct event
    {
        time_point time;
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };

    /** Orders events by time, and by sequence at the same time. */
    struct later_event
    {
        bool operator()(const event& a, const event& b) const
        {
            return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
        }
    };

    void schedule_event(time_point time, std::function<void()> action);
    /** Sends a message over the network; the receiver runs an action.
        @param nonce  nonce of the receiving process; 0 for any process */
    void transmit(
        std::size_t sender,
        std::size_t receiver,
        std::uint64_t nonce,
        std::size_t bytes,
        const std::function<void(process&)>& action);
    /** Runs an action at the receiver, or queues it while the process is
        paused. */
    void deliver(
        std::size_t receiver,
        std::uint64_t nonce,
        const std::function<void(process&)>& action);
    void run_timers(std::size_t index);
    void schedule_timers(std::size_t index);
    member make_member(std::size_t index, std::uint64_t nonce) const;

    fleet_options options_;
    manual_clock clock_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<process>> processes_;
    std::map<std::string, std::size_t> indexes_by_address_;
    std::priority_queue<event, std::vector<event>, later_event> event_queue_;
    std::function<bool(std::size_t, std::size_t)> is_connected_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t published_version_ = 0;
    bool is_platform_up_ = true;
    bool is_platform_pushing_ = false;
    fleet_counts counts_;
};

} // namespace turmericlane::tools
