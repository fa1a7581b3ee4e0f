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
    std::vector<std::uint8_t>& buffer)
{
    assert(payload.size() <= frame_payload_limit_bytes);
    assert(payload.size() % frame_payload_alignment_bytes == 0);

    frame_header header;
    header.payload_bytes = static_cast<std::uint32_t>(payload.size());
    header.type = static_cast<std::uint8_t>(type);
    header.sequence = next_sequence_++;
    auto header_bytes = header.pack();
    auto mac = session_.sign(header_bytes, payload);
    buffer.insert(buffer.end(), header_bytes.begin(), header_bytes.end());
    buffer.insert(buffer.end(), payload.begin(), payload.end());
    buffer.insert(buffer.end(), mac.begin(), mac.end());
}

} // namespace turmericlane
