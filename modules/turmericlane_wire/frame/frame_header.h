#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace turmericlane
{

/** Type of a message between instances. The values are sent over the wire. */
enum class frame_type : std::uint8_t
{
    hello = 1,
    search_batch,
    shard_reply,
    cancel,
    booking_forward,
    booking_execute,
    booking_reply,
    heartbeat,
    bundle_request,
    bundle_delta,
    bundle_full,
    store_feed,
    searcher_departure,
    searcher_failures
};

inline constexpr std::size_t frame_type_count = 14;

/** Version of the frame layout and of the message schema. */
inline constexpr std::uint8_t frame_protocol_version = 1;

/** Size of the header, which precedes the payload. */
inline constexpr std::size_t frame_header_bytes = 16;

/** Size of the message authentication code (MAC), which follows the payload. */
inline constexpr std::size_t frame_mac_bytes = 16;

/** Size of the largest payload: 4 MiB. */
inline constexpr std::size_t frame_payload_limit_bytes = std::size_t{4} << 20U;

/** Size of the largest payload of a hello. It limits the memory that a peer can
    occupy before it is authenticated. */
inline constexpr std::size_t hello_payload_limit_bytes = 1024;

/** The size of each payload is a multiple of this, so that each payload in a
    buffer of consecutive frames has the alignment that FlatBuffers needs. */
inline constexpr std::size_t frame_payload_alignment_bytes = 8;

/** Returns the size of a frame with a payload of that size. */
constexpr std::size_t frame_bytes(std::size_t payload_bytes) noexcept
{
    return frame_header_bytes + payload_bytes + frame_mac_bytes;
}

/** A frame header as it is sent over the wire. */
using frame_header_buffer = std::array<std::uint8_t, frame_header_bytes>;

/** Returns the name of a frame type in metrics and logs. */
std::string_view to_string(frame_type value) noexcept;

/** Returns the frame type with that wire value, or nothing if it is unknown. */
std::optional<frame_type> parse_frame_type(std::uint8_t value) noexcept;

/** Header of a frame. On the wire it holds, in little-endian order: payload
    size (4 bytes), protocol version (1), type (1), reserved bytes (2) and
    sequence number (8).

    @see frame_encoder, frame_decoder
*/
struct frame_header
{
    std::uint32_t payload_bytes = 0;
    std::uint8_t version = frame_protocol_version;
    /** Value of frame_type, which may be unknown; see parse_frame_type. */
    std::uint8_t type = 0;
    /** Always 0 in this protocol version. */
    std::uint16_t reserved = 0;
    /** Number of the frame within its direction of the session, from 0. */
    std::uint64_t sequence = 0;

    /** Returns the header as it is sent. */
    frame_header_buffer pack() const noexcept;

    /** Returns the header in received bytes; no field is checked. */
    static frame_header
    unpack(std::span<const std::uint8_t, frame_header_bytes> source) noexcept;
};

} // namespace turmericlane
