#pragma once

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace turmericlane::tests
{

/** A bundle with one service per element of replicas: groups groups of that
    many searchers. Searcher ids count from 1. */
std::shared_ptr<bundle>
make_bundle(std::uint32_t groups, const std::vector<std::uint32_t>& replicas);

/** Entries, owners and backend servers in virtual time on one thread, with
    faults on the way. It checks the connection windows as it goes.

    It is a fake at the interfaces of the decisions, not a model of a cluster:
    latencies and faults are drawn at random. */
class virtual_fleet : public owner_directory
{
public:
    /** Rates of the faults, 0 to 1. */
    struct faults
    {
        double reply_lost = 0.0;
        double reply_doubled = 0.0;
        double reply_late = 0.0;
        double backend_failure = 0.0;
        duration backend_time = std::chrono::milliseconds(4);
        duration hop = std::chrono::milliseconds(1);
    };

    virtual_fleet(
        std::uint64_t seed,
        std::uint32_t instances,
        std::shared_ptr<bundle> in_force,
        faults with);
    ~virtual_fleet() override;

    bool is_usable(ordinal owner) const override;

    /** Starts a search at an instance; returns the index of its record. */
    std::size_t
    search(ordinal entry, rank work, duration time_left, std::size_t services);

    /** Puts a bundle in force everywhere. */
    void set_bundle(std::shared_ptr<bundle> in_force);

    /** Cuts all connections to an instance; its state stays. */
    void lose_instance(ordinal lost);

    /** Runs events until a point in time. */
    void run_until(time_point end);

    /** One search and what came of it. */
    struct record
    {
        query_id id;
        std::size_t finished = 0;
        bool caller_gone = false;
        search_answer answer;
        time_point asked;
        time_point ended;
    };

    manual_clock time;
    std::mt19937_64 random;
    std::uint64_t newest_snapshot = 5;
    std::vector<record> records;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> by_id;
    /** Queries that any backend server ran a part of. */
    std::set<std::pair<std::uint64_t, std::uint64_t>> ran;
    std::size_t window_violations = 0;
    /** Servers that refuse connections. */
    std::set<searcher_id> dead;
    /** Requests received by each server. */
    std::map<searcher_id, std::size_t> received;
    std::vector<std::unique_ptr<search_coordinator>> entries;
    std::vector<std::unique_ptr<group_dispatcher>> owners;

private:
    class instance_actions;

    struct event
    {
        time_point due;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::tie(other.due, other.order) < std::tie(due, order);
        }
    };

    bool happens(double rate);
    duration vary(duration typical);
    void at(time_point due, std::function<void()> run);
    void run_timers();
    time_point next_timer() const;
    void start(ordinal owner, attempt_id id, const backend_request& request);
    void end(ordinal owner, attempt_id id, const backend_reply& reply);
    backend_reply make_reply(const backend_request& request);

    faults faults_;
    std::shared_ptr<bundle> in_force_;
    std::vector<std::unique_ptr<instance_actions>> actions_;
    std::vector<bool> lost_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::map<std::pair<ordinal, ordinal>, time_point> last_delivery_;
    /** Attempts that run, with their server. */
    std::map<std::pair<ordinal, attempt_id>, searcher_id> running_;
    std::map<std::pair<ordinal, searcher_id>, std::uint32_t> in_flight_;
};

} // namespace turmericlane::tests
