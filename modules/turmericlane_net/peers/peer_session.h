#pragma once

#include "peer_settings.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace turmericlane
{

class peer_session;

/** Receives the events of sessions, each in the thread of its session.

    @see peer_session
*/
class peer_session_listener
{
public:
    virtual ~peer_session_listener() = default;

    /** Called when the peer has proved its identity. */
    virtual void
    on_session_open(const std::shared_ptr<peer_session>& session) = 0;

    /** Called for each message that arrives on an open session. */
    virtual void on_session_message(
        peer_session& session,
        frame_type type,
        std::span<const std::uint8_t> payload) = 0;

    /** Called when the session is closed, as its last event.
        @param was_open  true if on_session_open was called */
    virtual void on_session_closed(
        const std::shared_ptr<peer_session>& session,
        bool was_open,
        reason cause) = 0;
};

/** One TCP connection with a peer: the exchange of hellos, then messages in
    both directions.

    Each side sends a hello signed with the shared key and, once it has the
    hello of the other side, a second one signed with the session key. The
    acceptor sends nothing before it has received a valid hello. Pending
    handlers keep the session alive until it is closed; they run in the thread
    of its socket.

    @see peer_network, session_authenticator
*/
class peer_session final : public std::enable_shared_from_this<peer_session>
{
public:
    using tcp = boost::asio::ip::tcp;

    /** @param settings            must outlive the session
        @param listener            must outlive the session
        @param identity            with the fields that are known before the
                                   hello
        @param own_bundle_version  bundle version that the hellos carry */
    peer_session(
        tcp::socket socket,
        session_role role,
        const peer_settings& settings,
        peer_session_listener& listener,
        peer_identity identity,
        std::uint64_t own_bundle_version);

    /** Sets a function that is called once when the session is closed, before
        the listener is notified. Must be called before start. */
    void set_close_handler(std::function<void(bool was_open)> handler);

    /** Starts reading. Any thread may call. */
    void start();

    /** Queues a message. Any thread may call.
        @returns false if the session is not open or its queue is full: no byte
                 of the message is sent */
    bool send(frame_type type, std::span<const std::uint8_t> payload);

    /** Closes the session as soon as the queued messages are written. Any
        thread may call. */
    void close_after_writes();

    /** Closes the session without waiting for queued messages. Any thread may
        call. */
    void close(reason cause);

    /** Returns the identity of the peer; complete once the session is open. */
    const peer_identity& identity() const noexcept;

private:
    enum class phase : std::uint8_t
    {
        /** Waits for the peer's first hello. */
        hello,
        /** Waits for the second hello, which proves the peer's identity. */
        proof,
        /** Authenticated; messages can be sent. */
        open,
        /** Closes when the queued messages are written; accepts no more. */
        closing,
        closed
    };

    void read();
    void on_read(std::size_t received_bytes);
    bool handle_frame(const received_frame& frame);
    bool handle_hello(const received_frame& frame);
    bool handle_proof(const received_frame& frame);
    void queue_hello();
    void update_frame_timer(bool has_completed_frame);
    void start_frame_timer(duration timeout);
    void request_write();
    void write();
    void on_written();
    void close_now(reason cause);
    phase current_phase() const;

    tcp::socket socket_;
    boost::asio::steady_timer hello_timer_;
    boost::asio::steady_timer frame_timer_;
    const peer_settings& settings_;
    peer_session_listener& listener_;
    peer_identity identity_;
    session_role role_;
    std::uint64_t own_bundle_version_;
    session_authenticator authenticator_;
    frame_decoder decoder_;
    std::function<void(bool)> close_handler_;
    message_header peer_header_;
    session_nonce peer_nonce_{};
    bool was_opened_ = false;
    bool is_frame_timer_armed_ = false;
    time_point partial_frame_start_ = time_point::max();
    std::vector<std::uint8_t> write_buffer_;

    mutable std::mutex mutex_;
    // Guarded by mutex_.
    phase phase_ = phase::hello;
    reason close_cause_ = reason::cancelled;
    frame_encoder encoder_;
    std::vector<std::uint8_t> write_queue_;
    bool is_writing_ = false;
};

} // namespace turmericlane
