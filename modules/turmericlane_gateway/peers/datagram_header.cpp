#include "datagram_header.h"

#include <boost/endian/buffers.hpp>

#include <algorithm>
#include <cstring>

namespace turmericlane
{

namespace
{

/** Changes with the format. */
constexpr std::uint32_t format_mark = 0x31706c74;

struct wire_header
{
    boost::endian::little_uint32_buf_t mark;
    boost::endian::little_uint8_buf_t kind;
    boost::endian::little_uint8_buf_t busy_percent;
    boost::endian::little_uint16_buf_t port;
    boost::endian::little_uint64_buf_t through;
    boost::endian::little_uint64_buf_t age_us;
};

static_assert(sizeof(wire_header) == datagram_header_bytes);

/** An older confirmation is as good as none. */
constexpr std::uint64_t max_age_us = 3'600'000'000ULL;

} // namespace

datagram_header_buffer encode(const datagram_header& header)
{
    using std::chrono::microseconds;
    const auto age = std::chrono::duration_cast<microseconds>(header.age);
    wire_header made;
    made.mark = format_mark;
    made.kind = static_cast<std::uint8_t>(header.kind);
    made.busy_percent = header.busy_percent;
    made.port = header.port;
    made.through = header.through;
    made.age_us = std::min<std::uint64_t>(
        max_age_us,
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())));
    datagram_header_buffer buf{};
    std::memcpy(buf.data(), &made, sizeof(made));
    return buf;
}

std::optional<datagram_header>
decode_datagram_header(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < datagram_header_bytes)
        return std::nullopt;
    wire_header from;
    std::memcpy(&from, bytes.data(), sizeof(from));
    const auto kind = from.kind.value();
    const auto known =
        kind == static_cast<std::uint8_t>(datagram_kind::membership) ||
        kind == static_cast<std::uint8_t>(datagram_kind::feed);
    if (from.mark.value() != format_mark || !known)
        return std::nullopt;
    datagram_header made;
    made.kind = static_cast<datagram_kind>(kind);
    made.busy_percent = from.busy_percent.value();
    made.port = from.port.value();
    made.through = from.through.value();
    made.age =
        std::chrono::microseconds(std::min(from.age_us.value(), max_age_us));
    return made;
}

} // namespace turmericlane
