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

/** Receives what a peer_channel learns. */
class peer_listener
{
public:
    virtual ~peer_listener() = default;

    /** A member was learned or its state changed. */
    virtual void member_changed(const member& value) = 0;

    /** A peer states what it knows of the store, and how busy it is.
        @param nonce  the peer's process */
    virtual void peer_state(
        const endpoint& peer,
        std::uint64_t nonce,
        const datagram_header& state) = 0;

    /** A peer has sent items of the store. */
    virtual void peer_feed(const feed_message& message) = 0;

    /** What this instance knows of the store, for the header of a datagram. */
    virtual datagram_header own_state() const = 0;

    /** The process was stopped for that time. */
    virtual void process_paused(duration gap) = 0;
};

/** Carries the messages of a membership_table, and small changes of the store,
    in datagrams between instances; each states what its sender knows of the
    store.

    A datagram that cannot be read is dropped and counted; the table notices
    missing answers itself.

    @see membership_table
*/
class peer_channel : private membership_actions
{
public:
    /** @param self      this process
        @param seed      seed of the membership table
        @param listener  must outlive the channel */
    peer_channel(
        event_context& loop,
        const clock& time,
        const member& self,
        std::uint64_t seed,
        peer_listener& listener);

    /** Binds the socket and starts the heartbeats.
        @returns nothing on success, otherwise the reason */
    std::optional<std::string> start();

    /** Instances that may exist; they are contacted. */
    void set_seeds(std::span<const listed_instance> seeds);

    /** Sends changes to many live peers. Changes that do not fit a datagram are
        left out: peers learn from the header that there are some. */
    void push(const feed_message& changes);

    /** Encodes items for a peer that has asked for them; empty if they are too
        many for one message. */
    std::string encode_feed(const feed_message& message);

    /** Tells some peers at once that this instance leaves. */
    void leave();

    /** The members. */
    const membership_table& table() const noexcept
    {
        return table_;
    }

    /** Datagrams that could not be read. */
    std::uint64_t malformed() const noexcept
    {
        return malformed_;
    }

private:
    void send(const endpoint& to, const membership_message& message) override;
    void on_member_changed(const member& value) override;
    void on_process_paused(duration gap) override;

    void send_datagram(
        const endpoint& to,
        datagram_kind kind,
        std::span<const std::uint8_t> payload);
    message_header header() const;
    void receive();
    void take(std::size_t size, const udp::endpoint& from);
    void on_timer();

    peer_listener& listener_;
    udp_socket socket_;
    member self_;
    message_encoder encoder_;
    membership_table table_;
    wakeup_timer timer_;
    std::uint64_t malformed_ = 0;
    /** Payloads are read in place and need this alignment. */
    alignas(8) std::array<std::uint8_t, 65'536> incoming_{};
};

} // namespace turmericlane
