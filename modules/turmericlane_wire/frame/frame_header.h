#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace turmericlane
{

/** Type of a message between instances. The values go over the wire. */
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
    store_feed
};

/** Number of frame types. */
inline constexpr std::size_t frame_type_count = 12;

/** Version of the frame layout and of the schema. */
inline constexpr std::uint8_t frame_protocol_version = 1;

/** Bytes before the payload. */
inline constexpr std::size_t frame_header_bytes = 16;

/** Bytes of the message authentication code after the payload. */
inline constexpr std::size_t frame_mac_bytes = 16;

/** Largest payload: 4 MiB. */
inline constexpr std::size_t frame_payload_limit_bytes = std::size_t{4} << 20U;

/** Largest payload of a hello. A peer that has not proved its identity cannot
    make this side keep more. */
inline constexpr std::size_t hello_payload_limit_bytes = 1024;

/** Payloads are a multiple of this, so that in a buffer of consecutive frames
    each payload has the alignment that FlatBuffers needs. */
inline constexpr std::size_t frame_payload_alignment_bytes = 8;

/** Returns the size of the frame that holds a payload of that size. */
constexpr std::size_t frame_bytes(std::size_t payload_bytes) noexcept
{
    return frame_header_bytes + payload_bytes + frame_mac_bytes;
}

/** The header of a frame in its wire form. */
using frame_header_buffer = std::array<std::uint8_t, frame_header_bytes>;

/** Returns the name that metrics and logs use. */
std::string_view to_string(frame_type value) noexcept;

/** Returns the frame type with that wire value, or nothing. */
std::optional<frame_type> parse_frame_type(std::uint8_t value) noexcept;

/** The fixed part of a frame: little-endian payload length (4 bytes),
    protocol version, type, two zero bytes, sequence (8 bytes).

    @see frame_encoder, frame_decoder
*/
struct frame_header
{
    std::uint32_t payload_bytes = 0;
    std::uint8_t version = frame_protocol_version;
    /** Raw type; parse_frame_type tells whether it is known. */
    std::uint8_t type = 0;
    std::uint16_t zero = 0;
    std::uint64_t sequence = 0;

    /** Returns the wire form. */
    frame_header_buffer pack() const noexcept;

    /** Reads the wire form; no field is checked. */
    static frame_header
    unpack(std::span<const std::uint8_t, frame_header_bytes> from) noexcept;
};

} // namespace turmericlane
