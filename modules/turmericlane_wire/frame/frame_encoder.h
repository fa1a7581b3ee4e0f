#pragma once

#include "../session/session_authenticator.h"
#include "frame_header.h"

#include <cstdint>
#include <span>
#include <vector>

namespace turmericlane
{

/** Makes the frames of one session: numbers and signs them.

    Only one thread may use it at a time.

    @see frame_decoder
*/
class frame_encoder
{
public:
    /** @param session  signs the frames; must outlive the encoder */
    explicit frame_encoder(session_authenticator& session);

    /** Appends a frame to a buffer.
        @param payload  at most 4 MiB; its size is a multiple of 8 bytes */
    void append_frame(
        frame_type type,
        std::span<const std::uint8_t> payload,
        std::vector<std::uint8_t>& buffer);

private:
    session_authenticator& session_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace turmericlane
