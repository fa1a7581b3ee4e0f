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

/** A verified frame in the buffer of the decoder. */
struct received_frame
{
    frame_type type = frame_type::hello;
    /** Aligned to 8 bytes; valid until the next call of prepare or append. */
    std::span<const std::uint8_t> payload;
};

/** Splits the received bytes of one session into frames and verifies them.

    The reader writes received bytes into the space that prepare returns, passes
    their number to commit, and calls next until it returns nothing. After an
    error the decoder returns no more frames, and the connection must be closed.
    The errors are frame_too_large, frame_malformed (an unknown type, reserved
    bytes that are not zero, or a length that is not a multiple of 8),
    frame_version, frame_auth, and frame_replayed (authentic, but out of
    sequence). Only one thread may use it.

    @see frame_encoder, session_authenticator
*/
class frame_decoder
{
public:
    /** @param session  verifies the frames; must outlive the decoder
        @param payload_limit_bytes  longest accepted payload */
    explicit frame_decoder(
        session_authenticator& session,
        std::size_t payload_limit_bytes = frame_payload_limit_bytes);

    /** Changes the longest accepted payload, from the next frame on.
        @param bytes  at most frame_payload_limit_bytes */
    void set_payload_limit(std::size_t bytes) noexcept
    {
        payload_limit_bytes_ = bytes;
    }

    /** Returns space for received bytes. It holds the known rest of the current
        frame, but at most 256 KiB more than has been received, so that memory
        grows only with the bytes that a peer really sends. Frames that were
        returned earlier become invalid. */
    std::span<std::uint8_t> prepare();

    /** Adds the first bytes of the space that prepare returned to the received
        bytes. */
    void commit(std::size_t received_bytes);

    /** Copies received bytes into the buffer; an alternative to prepare and
        commit. Frames that were returned earlier become invalid. */
    void append(std::span<const std::uint8_t> received_bytes);

    /** Returns the next complete frame, or nothing if more bytes are needed or
        an error was found. */
    std::optional<received_frame> next();

    /** Returns the error that was found, or reason::none. */
    reason error() const noexcept;

    /** True if only a part of a frame has been received. */
    bool has_partial_frame() const noexcept;

private:
    std::optional<received_frame> fail(reason cause) noexcept;
    reason check_header(const frame_header& header) const noexcept;
    std::size_t count_missing_bytes() const noexcept;
    void reserve_space(std::size_t extra_bytes);

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
