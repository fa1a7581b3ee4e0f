#include "frame_header.h"

namespace turmericlane
{

namespace
{

constexpr std::string_view names[] = {
    "hello",           "search_batch",    "shard_reply",   "cancel",
    "booking_forward", "booking_execute", "booking_reply", "heartbeat",
    "bundle_request",  "bundle_delta",    "bundle_full",   "store_feed"};

static_assert(std::size(names) == frame_type_count);

template <class T>
void put(std::uint8_t* to, T value) noexcept
{
    for (std::size_t n = 0; n < sizeof(T); ++n)
        to[n] = static_cast<std::uint8_t>(value >> (8U * n));
}

template <class T>
T get(const std::uint8_t* from) noexcept
{
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < sizeof(T); ++n)
        value |= std::uint64_t{from[n]} << (8U * n);
    return static_cast<T>(value);
}

} // namespace

std::string_view to_string(frame_type value) noexcept
{
    auto n = static_cast<std::size_t>(value);
    return n >= 1 && n <= frame_type_count ? names[n - 1] : "unknown";
}

std::optional<frame_type> parse_frame_type(std::uint8_t value) noexcept
{
    if (value < 1 || value > frame_type_count)
        return std::nullopt;
    return static_cast<frame_type>(value);
}

frame_header_buffer frame_header::pack() const noexcept
{
    frame_header_buffer buf{};
    put(buf.data(), payload_bytes);
    buf[4] = version;
    buf[5] = type;
    put(buf.data() + 6, zero);
    put(buf.data() + 8, sequence);
    return buf;
}

frame_header frame_header::unpack(
    std::span<const std::uint8_t, frame_header_bytes> from) noexcept
{
    frame_header made;
    made.payload_bytes = get<std::uint32_t>(from.data());
    made.version = from[4];
    made.type = from[5];
    made.zero = get<std::uint16_t>(from.data() + 6);
    made.sequence = get<std::uint64_t>(from.data() + 8);
    return made;
}

} // namespace turmericlane
