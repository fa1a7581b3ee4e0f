#pragma once

#include <turmericlane_state/turmericlane_state.h>

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace turmericlane::tools
{

/** Sizes and faults of a fleet. */
struct fleet_options
{
    std::size_t nodes = 8;
    std::size_t data_centres = 4;
    /** One way, within a data centre and between two. */
    duration near_delay = std::chrono::microseconds(250);
    duration far_delay = std::chrono::milliseconds(1);
    /** Added at random to each message, so that messages cross. */
    duration jitter = std::chrono::microseconds(250);
    /** Share of messages that are lost, and that arrive twice. */
    double loss = 0.0;
    double doubles = 0.0;
    /** Encoded size of a push or of the reply to a request. */
    std::size_t bundle_bytes = 600;
    std::uint64_t seed = 1;
    membership_limits membership;
    version_spread_limits versions;
    platform_reader_limits platform;
};

/** What a fleet has counted. */
struct fleet_counts
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t exchange_bytes = 0;
    std::uint64_t platform_reads = 0;
    /** Times that a node was told to put a lower or equal version in force. */
    std::uint64_t not_higher = 0;
    std::uint64_t pauses = 0;
};

/** Membership tables, version spread and platform readers of many instances in
    one process, on a virtual clock and a fake network with fixed delays. For
    the measured slopes and for tests with small fleets.

    A node is a place with an address; a process with a nonce runs in it.
*/
class fleet
{
public:
    explicit fleet(const fleet_options& options);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /** Starts a process in a node that has none. */
    void start(std::size_t node);
    /** Ends the process of a node without notice. */
    void crash(std::size_t node);
    /** Stops a process; its messages wait until resume. */
    void pause(std::size_t node);
    void resume(std::size_t node);
    /** Says which pairs of nodes can exchange messages. */
    void connect_if(std::function<bool(std::size_t, std::size_t)> predicate);
    /** Changes the share of messages that are lost, and that come twice. */
    void set_faults(double loss, double doubles);
    /** Publishes a version on the platform. */
    void publish(std::uint64_t version);
    /** Whether the platform answers. */
    void set_platform_up(bool up);
    /** Hands the platform's list, of all nodes that run now, to a node. */
    void read_list(std::size_t node);
    /** Lets a process read the platform once, as at its start. */
    void read_platform(std::size_t node);
    void run_for(duration span);

    membership_table& table(std::size_t node);
    std::uint64_t nonce(std::size_t node) const;
    bool runs(std::size_t node) const;
    std::uint64_t version(std::size_t node) const;
    /** When the version in force came into force there. */
    time_point version_since(std::size_t node) const;
    /** True if all running processes see each other, and nobody else, as
        live. */
    bool agreed() const;
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
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> act;
    };

    struct later
    {
        bool operator()(const event& a, const event& b) const
        {
            return std::tie(a.when, a.order) > std::tie(b.when, b.order);
        }
    };

    void at(time_point when, std::function<void()> act);
    /** Hands something to a process over the network.
        @param nonce  process that it is for; 0 for whichever runs there */
    void transmit(
        std::size_t from,
        std::size_t to,
        std::uint64_t nonce,
        std::size_t bytes,
        const std::function<void(process&)>& act);
    void arrive(
        std::size_t to,
        std::uint64_t nonce,
        const std::function<void(process&)>& act);
    void wake(std::size_t node);
    void schedule(std::size_t node);
    member describe(std::size_t node, std::uint64_t nonce) const;

    fleet_options options_;
    manual_clock clock_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<process>> nodes_;
    std::map<std::string, std::size_t> by_address_;
    std::priority_queue<event, std::vector<event>, later> queue_;
    std::function<bool(std::size_t, std::size_t)> connected_;
    std::uint64_t last_order_ = 0;
    std::uint64_t published_ = 0;
    bool platform_up_ = true;
    fleet_counts counts_;
};

} // namespace turmericlane::tools
