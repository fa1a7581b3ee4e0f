#pragma once

#include "../session/session_authenticator.h"
#include "frame_header.h"

#include <turmericlane_core/turmericlane_core.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>

namespace turmericlane
{

/** A checked frame in the decoder's buffer. */
struct received_frame
{
    frame_type type = frame_type::hello;
    /** Aligned to 8 bytes; valid until the next prepare. */
    std::span<const std::uint8_t> payload;
};

/** Finds, checks and hands out the frames in the received bytes of one session.

    The reader fills the space that prepare returns, states with commit how much
    arrived, and calls next until it returns nothing. After an error the decoder
    stays in that state: the connection has to be closed. Errors:
    frame_too_large, frame_malformed (unknown type, reserved bytes or a length
    that is not a multiple of 8), frame_version, frame_auth and frame_replayed
    (authentic, but out of sequence). One thread uses it.

    @see frame_encoder, session_authenticator
*/
class frame_decoder
{
public:
    /** @param session              checks the frames; must outlive the decoder
        @param payload_limit_bytes  a longer payload is refused */
    explicit frame_decoder(
        session_authenticator& session,
        std::size_t payload_limit_bytes = frame_payload_limit_bytes);

    /** Returns space for received bytes, enough for what is known to be
        missing of the current frame, but at most 256 KiB more than has arrived,
        so that memory grows only with the bytes that a peer really sends.
        Frames that were handed out become invalid. */
    std::span<std::uint8_t> prepare();

    /** States that the first bytes of the prepared space are filled. */
    void commit(std::size_t received_bytes);

    /** Copies received bytes into the buffer, in place of prepare and commit.
        Frames that were handed out become invalid. */
    void append(std::span<const std::uint8_t> received);

    /** Returns the next whole frame, or nothing if more bytes are needed or an
        error was found. */
    std::optional<received_frame> next();

    /** The error that was found, or reason::none. */
    reason error() const noexcept;

    /** True if a part of a frame has arrived, but not all of it. */
    bool has_partial_frame() const noexcept;

private:
    std::optional<received_frame> fail(reason why) noexcept;
    reason check_header(const frame_header& header) const noexcept;
    std::size_t missing_bytes() const noexcept;
    void make_room(std::size_t needed_bytes);

    session_authenticator& session_;
    std::size_t payload_limit_bytes_;
    std::unique_ptr<std::uint8_t[]> buffer_;
    std::size_t capacity_bytes_ = 0;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    std::uint64_t expected_sequence_ = 0;
    reason error_ = reason::none;
};

} // namespace turmericlane
