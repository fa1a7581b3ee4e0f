#include "frame_encoder.h"

#include <cassert>

namespace turmericlane
{

frame_encoder::frame_encoder(session_authenticator& session)
    : session_(session)
{
}

void frame_encoder::append_frame(
    frame_type type,
    std::span<const std::uint8_t> payload,
    std::vector<std::uint8_t>& to)
{
    assert(payload.size() <= frame_payload_limit_bytes);
    assert(payload.size() % frame_payload_alignment_bytes == 0);

    frame_header header;
    header.payload_bytes = static_cast<std::uint32_t>(payload.size());
    header.type = static_cast<std::uint8_t>(type);
    header.sequence = next_sequence_++;
    auto packed = header.pack();
    auto mac = session_.sign(packed, payload);
    to.insert(to.end(), packed.begin(), packed.end());
    to.insert(to.end(), payload.begin(), payload.end());
    to.insert(to.end(), mac.begin(), mac.end());
}

} // namespace turmericlane
