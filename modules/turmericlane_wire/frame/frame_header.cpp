#include "frame_header.h"

namespace turmericlane
{

namespace
{

constexpr std::string_view frame_type_names[] = {
    "hello",
    "search_batch",
    "shard_reply",
    "cancel",
    "booking_forward",
    "booking_execute",
    "booking_reply",
    "heartbeat",
    "bundle_request",
    "bundle_delta",
    "bundle_full",
    "store_feed",
    "searcher_departure",
    "searcher_failures"};

static_assert(std::size(frame_type_names) == frame_type_count);

template <class T>
void write_little_endian(std::uint8_t* target, T value) noexcept
{
    for (std::size_t n = 0; n < sizeof(T); ++n)
        target[n] = static_cast<std::uint8_t>(value >> (8U * n));
}

template <class T>
T read_little_endian(const std::uint8_t* source) noexcept
{
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < sizeof(T); ++n)
        value |= std::uint64_t{source[n]} << (8U * n);
    return static_cast<T>(value);
}

} // namespace

std::string_view to_string(frame_type value) noexcept
{
    auto n = static_cast<std::size_t>(value);
    return n >= 1 && n <= frame_type_count ? frame_type_names[n - 1]
                                           : "unknown";
}

std::optional<frame_type> parse_frame_type(std::uint8_t value) noexcept
{
    if (value < 1 || value > frame_type_count)
        return std::nullopt;
    return static_cast<frame_type>(value);
}

frame_header_buffer frame_header::pack() const noexcept
{
    frame_header_buffer buffer{};
    write_little_endian(buffer.data(), payload_bytes);
    buffer[4] = version;
    buffer[5] = type;
    write_little_endian(buffer.data() + 6, reserved);
    write_little_endian(buffer.data() + 8, sequence);
    return buffer;
}

frame_header frame_header::unpack(
    std::span<const std::uint8_t, frame_header_bytes> source) noexcept
{
    frame_header header;
    header.payload_bytes = read_little_endian<std::uint32_t>(source.data());
    header.version = source[4];
    header.type = source[5];
    header.reserved = read_little_endian<std::uint16_t>(source.data() + 6);
    header.sequence = read_little_endian<std::uint64_t>(source.data() + 8);
    return header;
}

} // namespace turmericlane
