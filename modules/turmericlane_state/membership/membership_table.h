#pragma once

#include "membership_actions.h"

#include <limits>
#include <memory>
#include <optional>
#include <span>

namespace turmericlane
{

/** Periods and bounds of a membership_table. */
struct membership_limits
{
    /** Time between two rounds of heartbeats. */
    duration period = std::chrono::seconds(1);
    /** Heartbeats in each round. */
    std::size_t targets = 3;
    /** A heartbeat without acknowledgement after this time is a report. Also
        the delay of on_timer that counts as a pause, beyond one period. */
    duration timeout = std::chrono::milliseconds(1500);
    /** How long a report counts. */
    duration report_window = std::chrono::seconds(10);
    /** Time that a suspect has to refute. */
    duration suspect_time = std::chrono::seconds(4);
    /** How long a gone member is remembered and now and then contacted. */
    duration gone_time = std::chrono::hours(2);
    /** Changes carried by one heartbeat or acknowledgement at most. */
    std::size_t change_bytes = 900;
    /** Full exchanges because of a digest that differs send at most this, and
        on average two thirds of it. */
    double exchange_bytes_per_second = 1000.0;
    /** Size of an exchange and of its reply at most, so that each fits into one
        datagram where that carries it; larger fleets are exchanged in parts. */
    std::size_t exchange_bytes = std::numeric_limits<std::size_t>::max();
    /** A process that is younger sends exchanges up to once a period and up to
        the second rate: most of the fleet is unknown to it. */
    duration young_time = duration::zero();
    double young_exchange_bytes_per_second = 1000.0;
    /** Processes remembered at most. */
    std::size_t members = 10'000;
};

/** The fleet as one instance sees it: from the lagging list, from heartbeats
    and from the reports of peers.

    The daemon hands it every message and calls on_timer; it never sends more
    than a bounded number of messages in a period.

    Decision code: events go in, actions come out through membership_actions.
    One thread calls it at a time.

    @see version_spread, make_instance_answer
*/
class membership_table
{
public:
    /** @param self     this process; its state must be live
        @param limits   periods and bounds
        @param seed     seed of targets and jitter
        @param time     clock; must outlive the table
        @param actions  receives the actions; must outlive the table */
    membership_table(
        const member& self,
        const membership_limits& limits,
        std::uint64_t seed,
        const clock& time,
        membership_actions& actions);
    ~membership_table();
    membership_table(const membership_table&) = delete;
    membership_table& operator=(const membership_table&) = delete;

    /** The platform's list was read. Entries are contacted; an entry never
        overrules what a process says about itself. */
    void on_list(std::span<const listed_instance> entries);

    /** A message of a peer arrived. */
    void on_message(const membership_message& message);

    /** Any other authenticated frame of a process arrived: it is alive. */
    void on_contact(std::uint64_t nonce);

    /** This instance starts to leave; peers are told with the next messages. */
    void start_leaving();

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called. */
    time_point next_wakeup() const;

    /** This process, with its current incarnation and state. */
    const member& self() const;

    /** Every process that is remembered, without this one, by nonce. */
    std::vector<member> members() const;

    /** The process in charge of an ordinal, this one included: live before
        leaving before suspect, then the one learned last. Nothing if none or
        gone. */
    std::optional<member> find(ordinal index) const;

    /** The nonce of the process in charge of an ordinal; 0 if none is live or
        leaving. Cheaper than find, for the routing of each request. */
    std::uint64_t usable_nonce(ordinal index) const;

    /** The process with that nonce, this one included. */
    std::optional<member> find_nonce(std::uint64_t nonce) const;

    /** True if the platform's list calls the endpoint leaving and the process
        itself was not heard since. */
    bool listed_as_leaving(const endpoint& where) const;

    /** Live processes, this one included. */
    std::size_t live_count() const;

    /** The readers of the configuration service in a data centre: the first
        two live ordinals by rendezvous hashing. */
    std::vector<ordinal> readers(std::string_view data_centre) const;

    /** True if this instance is a reader in its data centre. */
    bool is_reader() const;

    /** Up to count different live peers, chosen at random. */
    std::vector<member> sample(std::size_t count);

    /** False from a pause until a peer acknowledged a heartbeat that was sent
        after it; true if there is no live peer. */
    bool fresh() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
