#include "datagram_header.h"

#include <boost/endian/buffers.hpp>

#include <algorithm>
#include <cstring>

namespace turmericlane
{

namespace
{

/** Identifies the format; a change of the format changes it. */
constexpr std::uint32_t format_id = 0x31706c74;

struct wire_header
{
    boost::endian::little_uint32_buf_t format;
    boost::endian::little_uint8_buf_t kind;
    boost::endian::little_uint8_buf_t busy_percent;
    boost::endian::little_uint16_buf_t port;
    boost::endian::little_uint64_buf_t complete_revision;
    boost::endian::little_uint64_buf_t age_us;
};

static_assert(sizeof(wire_header) == datagram_header_bytes);

/** Tells a trailer from the end of a payload: no message ends with these bytes
    by chance. */
constexpr std::uint64_t trailer_magic = 0x3165'7261'74c8'db9eULL;

struct wire_trailer
{
    boost::endian::little_uint64_buf_t magic;
    boost::endian::little_uint64_buf_t reported_era;
    boost::endian::little_uint32_buf_t inferred_era;
    /** Zero; a trailer with another value is of an unknown format. */
    boost::endian::little_uint32_buf_t reserved;
};

static_assert(sizeof(wire_trailer) == datagram_trailer_bytes);

/** Greater ages are encoded and decoded as this one. */
constexpr std::uint64_t max_age_us = 3'600'000'000ULL;

/** Decodes all but the era. */
std::optional<datagram_header>
decode_datagram_header(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < datagram_header_bytes)
        return std::nullopt;
    wire_header wire;
    std::memcpy(&wire, bytes.data(), sizeof(wire));
    const auto kind = wire.kind.value();
    const auto is_known_kind =
        kind == static_cast<std::uint8_t>(datagram_kind::membership) ||
        kind == static_cast<std::uint8_t>(datagram_kind::feed) ||
        kind == static_cast<std::uint8_t>(datagram_kind::departure) ||
        kind == static_cast<std::uint8_t>(datagram_kind::failures);
    if (wire.format.value() != format_id || !is_known_kind)
        return std::nullopt;
    datagram_header header;
    header.kind = static_cast<datagram_kind>(kind);
    header.busy_percent = wire.busy_percent.value();
    header.port = wire.port.value();
    header.complete_revision = wire.complete_revision.value();
    header.confirmation_age =
        std::chrono::microseconds(std::min(wire.age_us.value(), max_age_us));
    return header;
}

std::optional<store_era> decode_trailer(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < datagram_trailer_bytes)
        return std::nullopt;
    wire_trailer wire;
    std::memcpy(&wire, bytes.last(datagram_trailer_bytes).data(), sizeof(wire));
    if (wire.magic.value() != trailer_magic || wire.reserved.value() != 0)
        return std::nullopt;
    return store_era{wire.reported_era.value(), wire.inferred_era.value()};
}

} // namespace

datagram_header_buffer encode(const datagram_header& header)
{
    using std::chrono::microseconds;
    const auto age =
        std::chrono::duration_cast<microseconds>(header.confirmation_age);
    wire_header wire;
    wire.format = format_id;
    wire.kind = static_cast<std::uint8_t>(header.kind);
    wire.busy_percent = header.busy_percent;
    wire.port = header.port;
    wire.complete_revision = header.complete_revision;
    wire.age_us = std::min<std::uint64_t>(
        max_age_us,
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())));
    datagram_header_buffer buf{};
    std::memcpy(buf.data(), &wire, sizeof(wire));
    return buf;
}

datagram_trailer_buffer encode_trailer(const store_era& era)
{
    wire_trailer wire;
    wire.magic = trailer_magic;
    wire.reported_era = era.reported;
    wire.inferred_era = era.inferred;
    wire.reserved = 0;
    datagram_trailer_buffer buf{};
    std::memcpy(buf.data(), &wire, sizeof(wire));
    return buf;
}

std::optional<received_datagram>
split_datagram(std::span<const std::uint8_t> bytes)
{
    const auto header = decode_datagram_header(bytes);
    if (!header)
        return std::nullopt;
    received_datagram datagram{*header, bytes.subspan(datagram_header_bytes)};
    datagram.header.era = decode_trailer(datagram.payload);
    if (datagram.header.era)
        datagram.payload = datagram.payload.first(
            datagram.payload.size() - datagram_trailer_bytes);
    return datagram;
}

} // namespace turmericlane
