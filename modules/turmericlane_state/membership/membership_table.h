#pragma once

#include "membership_actions.h"

#include <limits>
#include <memory>
#include <optional>
#include <span>

namespace turmericlane
{

/** Settings of a membership_table: periods, timeouts and bounds. */
struct membership_limits
{
    /** Time between two rounds of heartbeats. */
    duration period = std::chrono::seconds(1);
    /** Heartbeats sent in each round. */
    std::size_t heartbeats_per_round = 3;
    /** Time for an acknowledgement. If none arrives, the instance reports that
        it cannot reach the peer. An instance that was not called for one period
        and this time takes itself to have been paused. */
    duration timeout = std::chrono::milliseconds(1500);
    /** How long a report that a peer could not be reached stays valid. */
    duration report_window = std::chrono::seconds(10);
    /** Time in which a suspect member can refute the suspicion. */
    duration suspect_timeout = std::chrono::seconds(4);
    /** How long a gone member is remembered and occasionally contacted. */
    duration gone_retention = std::chrono::hours(2);
    /** Size of the changes in one heartbeat or acknowledgement at most. */
    std::size_t max_change_bytes = 900;
    /** Upper bound on the rate of exchanges that are sent because the digest of
        a peer differs. Jitter makes the average about two thirds of it. */
    double exchange_bytes_per_second = 1000.0;
    /** Size of an exchange and of its reply at most, so that each fits into one
        datagram where datagrams are used. Larger tables are sent in parts. */
    std::size_t max_exchange_bytes = std::numeric_limits<std::size_t>::max();
    /** Time after the start in which a process sends exchanges as often as once
        a period, since it does not know most of the fleet yet. */
    duration startup_time = duration::zero();
    /** Upper bound on the rate of exchanges during startup_time. */
    double startup_exchange_bytes_per_second = 1000.0;
    /** Other processes remembered at most. */
    std::size_t max_members = 10'000;
};

/** The fleet as one instance sees it, learned from the platform's instance
    list, which lags behind, from heartbeats and from the reports of peers.

    The caller passes it every message of a peer and calls on_timer. The number
    of messages that it sends in a period is bounded.

    The class does no I/O: events are passed to its methods, and it sends
    messages through membership_actions. One thread calls it at a time.

    @see version_spread, make_instance_answer
*/
class membership_table
{
public:
    /** @param self         this process; its state must be live
        @param limits       periods, timeouts and bounds
        @param seed         seed for the choice of peers and for jitter
        @param time_source  clock; must outlive the table
        @param actions      sends the messages; must outlive the table */
    membership_table(
        const member& self,
        const membership_limits& limits,
        std::uint64_t seed,
        const clock& time_source,
        membership_actions& actions);
    ~membership_table();
    membership_table(const membership_table&) = delete;
    membership_table& operator=(const membership_table&) = delete;

    /** The platform's list was read. Unknown endpoints in it are contacted; the
        list never overrules what a process says about itself later. */
    void on_instance_list(std::span<const listed_instance> entries);

    /** A message from a peer arrived. */
    void on_message(const membership_message& message);

    /** Another authenticated frame from a process arrived, which shows that the
        process is alive. */
    void on_contact(std::uint64_t nonce);

    /** Marks this instance as leaving; the next messages tell the peers. */
    void start_leaving();

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** Returns when on_timer has to be called next. */
    time_point next_wakeup() const;

    /** Returns the record of this process, with its current incarnation and
        state. */
    const member& self() const;

    /** Returns the records of all other known processes, gone ones included, in
        the order of their nonces. */
    std::vector<member> members() const;

    /** Returns the live processes to which callers may be sent, without this
        one. While most heartbeats are not acknowledged, these are only those
        from which a message arrived within the report window: the others may
        have ended, and too few instances may be left to agree on that. Their
        state stays live all the same, since perhaps only this instance is cut
        off. */
    std::vector<member> reachable_members() const;

    /** Returns the process that holds an ordinal, this one included. Of
        several, live comes before leaving before suspect, then the one that
        became known last. Returns nullopt if there is none or it is gone. */
    std::optional<member> find_by_ordinal(ordinal index) const;

    /** Returns the nonce of the process that holds an ordinal; 0 if none is
        live or leaving. Cheaper than find_by_ordinal, for routing each
        request. */
    std::uint64_t usable_nonce(ordinal index) const;

    /** Returns the process with a nonce, this one included; nullopt if it is
        not known. */
    std::optional<member> find_by_nonce(std::uint64_t nonce) const;

    /** True if the platform's list says that the instance at an endpoint is
        leaving, and no message arrived from the process itself since then. */
    bool is_listed_as_leaving(const endpoint& peer_endpoint) const;

    /** Returns the number of live processes, this one included. */
    std::size_t live_count() const;

    /** Returns the ordinals of the instances that read the configuration
        service for a data centre: the first two live ones by rendezvous
        hashing. */
    std::vector<ordinal> readers(std::string_view data_centre) const;

    /** True if this instance reads the configuration service for its data
        centre. */
    bool is_reader() const;

    /** Returns up to count different live peers, chosen at random.
        @param data_centre  of the peers; empty for all */
    std::vector<member>
    sample(std::size_t count, std::string_view data_centre = {});

    /** False from a pause of this process until a peer has acknowledged a
        heartbeat that was sent after the pause. True if there is no live
        peer. */
    bool is_up_to_date() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
