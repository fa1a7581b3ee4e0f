#pragma once

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace turmericlane::tests
{

/** Returns a bundle with one service for each element of replica_counts. Each
    service has group_count groups of that many searchers. Searcher ids count
    from 1. */
std::shared_ptr<bundle> make_bundle(
    std::uint32_t group_count,
    const std::vector<std::uint32_t>& replica_counts);

/** Runs entries, owners and simulated backend servers in virtual time on one
    thread, with faults of messages and servers. It counts attempts beyond the
    connection window of an owner.

    It replaces what is behind entry_actions and owner_actions, and does not
    model a cluster: latencies and faults are drawn at random. */
class virtual_fleet : public owner_directory
{
public:
    /** Faults and delays. The rates are probabilities, 0 to 1; the times are
        medians. */
    struct faults
    {
        double reply_loss_rate = 0.0;
        double reply_duplication_rate = 0.0;
        double late_reply_rate = 0.0;
        double backend_failure_rate = 0.0;
        duration backend_time = std::chrono::milliseconds(4);
        duration hop_time = std::chrono::milliseconds(1);
    };

    virtual_fleet(
        std::uint64_t seed,
        std::uint32_t instance_count,
        std::shared_ptr<bundle> bundle_in_force,
        faults fleet_faults);
    ~virtual_fleet() override;

    bool is_usable(ordinal owner) const override;

    /** Starts a search of the first service_count services at an instance.
        @returns the index of its record */
    std::size_t search(
        ordinal entry,
        rank request_rank,
        duration time_left,
        std::size_t service_count);

    /** Puts a bundle in force at all instances. */
    void set_bundle(std::shared_ptr<bundle> bundle_in_force);

    /** Disconnects an instance for good; its state stays. */
    void disconnect_instance(ordinal instance);

    /** Runs events until a point in time. */
    void run_until(time_point end);

    /** One search and its result. */
    struct record
    {
        query_id id;
        std::size_t finish_count = 0;
        bool is_caller_gone = false;
        search_answer answer;
        time_point start_time;
        time_point finish_time;
    };

    manual_clock time_source;
    std::mt19937_64 random;
    std::uint64_t newest_snapshot = 5;
    std::vector<record> records;
    /** Indices in records by nonce and counter of the query. */
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t>
        record_indices;
    /** Nonce and counter of the queries that any backend server ran a
        sub-request of. */
    std::set<std::pair<std::uint64_t, std::uint64_t>> executed_queries;
    std::size_t window_violations = 0;
    /** Servers that refuse connections. */
    std::set<searcher_id> unreachable_servers;
    /** Number of requests that each server received. */
    std::map<searcher_id, std::size_t> request_counts;
    std::vector<std::unique_ptr<search_coordinator>> entries;
    std::vector<std::unique_ptr<group_dispatcher>> owners;

private:
    class instance_actions;

    struct event
    {
        time_point due;
        /** Orders events that are due at the same time. */
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(other.due, other.sequence) <
                   std::tie(due, sequence);
        }
    };

    bool draw_event(double rate);
    duration draw_duration(duration median);
    void schedule(time_point due, std::function<void()> action);
    void run_due_timers();
    time_point next_timer_due() const;
    void
    start_attempt(ordinal owner, attempt_id id, const backend_request& request);
    void end_attempt(ordinal owner, attempt_id id, const backend_reply& reply);
    backend_reply make_reply(const backend_request& request);

    faults faults_;
    std::shared_ptr<bundle> bundle_in_force_;
    std::vector<std::unique_ptr<instance_actions>> actions_;
    std::vector<bool> is_disconnected_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    std::map<std::pair<ordinal, ordinal>, time_point> last_delivery_;
    /** Servers of the running attempts. */
    std::map<std::pair<ordinal, attempt_id>, searcher_id> running_attempts_;
    std::map<std::pair<ordinal, searcher_id>, std::uint32_t> in_flight_;
};

} // namespace turmericlane::tests
