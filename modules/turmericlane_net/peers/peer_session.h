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

/** Receives the events of sessions, in the thread of each session.

    @see peer_session
*/
class session_host
{
public:
    virtual ~session_host() = default;

    /** The peer proved its identity. */
    virtual void
    on_session_open(const std::shared_ptr<peer_session>& session) = 0;

    /** A message arrived on an open session. */
    virtual void on_session_message(
        peer_session& session,
        frame_type type,
        std::span<const std::uint8_t> payload) = 0;

    /** The session ended; it is the last event.
        @param was_open  whether on_session_open was called */
    virtual void on_session_closed(
        const std::shared_ptr<peer_session>& session,
        bool was_open,
        reason why) = 0;
};

/** One TCP connection with a peer: the exchange of hellos, then messages in
    both directions.

    Each side sends a hello signed with the shared key and, when it has the
    other's, a second one signed with the session key. The acceptor sends
   nothing before it has received a valid hello. The session keeps itself alive
   until it is closed. Its handlers run in the thread of its socket.

    @see peer_network, session_authenticator
*/
class peer_session final : public std::enable_shared_from_this<peer_session>
{
public:
    using tcp = boost::asio::ip::tcp;

    /** @param settings  must outlive the session
        @param host      must outlive the session
        @param identity  the fields that are known before the hello */
    peer_session(
        tcp::socket socket,
        session_role role,
        const peer_settings& settings,
        session_host& host,
        peer_identity identity,
        std::uint64_t own_bundle_version);

    /** Has a function called once when the session is closed, before the host
        learns of it. To be called before start. */
    void set_on_end(std::function<void(bool was_open)> called);

    /** Starts reading. Any thread may call. */
    void start();

    /** Queues a message. Any thread may call.
        @returns false if the session is not open or its queue is full: no byte
                 of the message leaves */
    bool send(frame_type type, std::span<const std::uint8_t> payload);

    /** Closes the session as soon as the queued messages are written. Any
       thread may call. */
    void finish();

    /** Closes the session at once. Any thread may call. */
    void close(reason why);

    /** The peer; complete once the session is open. */
    const peer_identity& identity() const noexcept;

private:
    enum class phase : std::uint8_t
    {
        hello,
        proof,
        open,
        finishing,
        closed
    };

    void read();
    void on_read(std::size_t received_bytes);
    bool handle(const received_frame& frame);
    bool handle_hello(const received_frame& frame);
    bool handle_proof(const received_frame& frame);
    void queue_hello();
    void watch_partial_frame(bool frame_completed);
    void arm_frame_timer(duration span);
    void request_write();
    void write();
    void on_written();
    void close_here(reason why);
    phase current_phase() const;

    tcp::socket socket_;
    boost::asio::steady_timer hello_timer_;
    boost::asio::steady_timer frame_timer_;
    const peer_settings& settings_;
    session_host& host_;
    peer_identity identity_;
    session_role role_;
    std::uint64_t own_bundle_version_;
    session_authenticator authenticator_;
    frame_decoder decoder_;
    std::function<void(bool)> on_end_;
    message_header peer_header_;
    session_nonce peer_nonce_{};
    bool opened_ = false;
    bool frame_timer_armed_ = false;
    time_point partial_since_ = time_point::max();
    std::vector<std::uint8_t> written_;

    mutable std::mutex mutex_;
    // Guarded by mutex_.
    phase phase_ = phase::hello;
    reason end_reason_ = reason::cancelled;
    frame_encoder encoder_;
    std::vector<std::uint8_t> queued_;
    bool writing_ = false;
};

} // namespace turmericlane
