#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace turmericlane
{

/** What a datagram carries after its header. */
enum class datagram_kind : std::uint8_t
{
    membership = 1,
    feed = 2
};

/** Header of a datagram between instances. */
struct datagram_header
{
    datagram_kind kind = datagram_kind::membership;
    /** Revision of the store up to which the sender is complete. */
    std::uint64_t through = 0;
    /** Time since the store confirmed that. */
    duration age{};
    /** TCP and UDP port at which the sender serves its peers. */
    std::uint16_t port = 0;
    /** Processor time that the sender uses, in percent of its share. */
    std::uint8_t busy_percent = 0;

    friend bool
    operator==(const datagram_header&, const datagram_header&) = default;
};

/** Bytes of a header; a multiple of the alignment that payloads need. */
inline constexpr std::size_t datagram_header_bytes = 24;

/** A header in its wire form. */
using datagram_header_buffer = std::array<std::uint8_t, datagram_header_bytes>;

/** Encodes a header. */
datagram_header_buffer encode(const datagram_header& header);

/** Decodes the header of a datagram.
    @returns nothing if the bytes are too few or are no such header */
std::optional<datagram_header>
decode_datagram_header(std::span<const std::uint8_t> bytes);

} // namespace turmericlane
