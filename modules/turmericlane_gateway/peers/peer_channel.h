#pragma once

#include "../loop/event_loop.h"
#include "../loop/wakeup_timer.h"
#include "datagram_header.h"

#include <turmericlane_state/turmericlane_state.h>
#include <turmericlane_wire/turmericlane_wire.h>

#include <array>
#include <functional>
#include <memory>

namespace turmericlane
{

/** Receives the events of a peer_channel and provides the state of this
    instance. */
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /** A member became known or its state changed. */
    virtual void member_changed(const member& record) = 0;

    /** A peer has stated its store revision and its load.
        @param nonce  nonce of the peer's process; 0 if the message after the
                      header could not be read */
    virtual void peer_state_received(
        const endpoint& peer,
        std::uint64_t nonce,
        const datagram_header& state) = 0;

    /** A peer has sent items of the store. */
    virtual void peer_feed_received(const feed_message& message) = 0;

    /** A peer has got an answer of a searcher that is leaving. */
    virtual void departure_reported(const departure_message& departure) = 0;

    /** A peer has reported how often searchers failed.
        @param nonce  nonce of the peer's process */
    virtual void failures_reported(
        std::uint64_t nonce, const failure_report_message& report) = 0;

    /** Returns the store revision and the load of this instance, for the header
        of a datagram. */
    virtual datagram_header own_state() const = 0;

    /** The process did not run for the given time. */
    virtual void process_paused(duration gap) = 0;
};

/** Exchanges the messages of a membership_table and small changes of the store
    with the other instances, in datagrams. The header of each datagram states
    the store revision and the load of its sender.

    A datagram that cannot be read is dropped and counted; the table handles the
    loss of messages.

    @see membership_table
*/
class peer_channel : private membership_actions
{
public:
    /** All references but own_member must outlive the channel.
        @param own_member  membership entry of this process
        @param seed        random seed of the membership table */
    peer_channel(
        event_context& loop,
        const clock& time,
        const member& own_member,
        std::uint64_t seed,
        peer_listener& listener);

    /** Binds the socket and starts the heartbeats.
        @returns nothing on success, otherwise the reason for the failure */
    std::optional<std::string> start();

    /** Sets the instances that may exist; they are contacted. */
    void set_seeds(std::span<const listed_instance> seeds);

    /** Sends changes to many live peers. If the changes are too large for a
        datagram, only their revision is sent, and the peers pull them. */
    void push(const feed_message& changes);

    /** Reports a searcher that is leaving to a bounded number of peers. */
    void report_departure(const departure_message& departure);

    /** Reports searchers that are leaving to one peer. */
    void report_departures(
        const endpoint& peer, std::span<const departure_message> departures);

    /** Reports how often searchers failed to a bounded number of peers in the
        own data centre. */
    void report_failures(const failure_report_message& report);

    /** Returns the encoded items for a peer that has requested them; empty if
        they are too many for one message. */
    std::string encode_feed(const feed_message& message);

    /** Tells all live peers at once that this instance is leaving. */
    void leave();

    /** Returns the known members. */
    const membership_table& table() const noexcept
    {
        return table_;
    }

    /** Returns the number of datagrams that could not be read. */
    std::uint64_t malformed_count() const noexcept
    {
        return malformed_count_;
    }

private:
    void send(const endpoint& destination, const membership_message& message)
        override;
    void on_member_changed(const member& record) override;
    void on_process_paused(duration gap) override;

    void send_datagram(
        const endpoint& destination,
        datagram_kind kind,
        std::span<const std::uint8_t> payload);
    message_header make_message_header() const;
    void receive();
    void on_datagram(std::size_t size, const udp::endpoint& sender);
    void on_timer();

    peer_listener& listener_;
    udp_socket socket_;
    member own_member_;
    message_encoder encoder_;
    membership_table table_;
    wakeup_timer timer_;
    std::uint64_t malformed_count_ = 0;
    /** Payloads are decoded in place and need this alignment. */
    alignas(8) std::array<std::uint8_t, 65'536> datagram_{};
};

} // namespace turmericlane
