#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_state/store/store_position.h>

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace turmericlane
{

/** Kind of the message that follows the header of a datagram. */
enum class datagram_kind : std::uint8_t
{
    membership = 1,
    feed = 2,
    departure = 3,
    failures = 4
};

/** What the sender of a datagram states about itself, in the header and the
    trailer of the datagram. */
struct datagram_header
{
    datagram_kind kind = datagram_kind::membership;
    /** Era of complete_revision; std::nullopt from an instance of a build that
        states none. */
    std::optional<store_era> era;
    /** Revision of the store up to which the sender's state is complete. */
    std::uint64_t complete_revision = 0;
    /** Time since the store has confirmed this revision. */
    duration confirmation_age{};
    /** TCP and UDP port at which the sender serves its peers. */
    std::uint16_t port = 0;
    /** Processor time that the sender uses, in percent of its share. */
    std::uint8_t busy_percent = 0;

    friend bool
    operator==(const datagram_header&, const datagram_header&) = default;
};

/** Size of an encoded header, in bytes; a multiple of the alignment that
    payloads need. */
inline constexpr std::size_t datagram_header_bytes = 24;

/** An encoded header. */
using datagram_header_buffer = std::array<std::uint8_t, datagram_header_bytes>;

/** Size of an encoded trailer, in bytes. */
inline constexpr std::size_t datagram_trailer_bytes = 24;

/** An encoded trailer. */
using datagram_trailer_buffer =
    std::array<std::uint8_t, datagram_trailer_bytes>;

/** Encodes the header, which holds all but the era. */
datagram_header_buffer encode(const datagram_header& header);

/** Encodes the trailer, which ends a datagram and states an era. It follows the
    payload because the header of builds that state no era has no room for it.
    These builds read a payload from its start and ignore what follows it. */
datagram_trailer_buffer encode_trailer(const store_era& era);

/** A received datagram in parts. */
struct received_datagram
{
    datagram_header header;
    /** Refers to the bytes of the datagram. */
    std::span<const std::uint8_t> payload;
};

/** Splits a datagram into its header, payload and trailer. Bytes that are no
    valid trailer are part of the payload, and the header then has no era.
    @returns nothing if the bytes are too few or begin with no valid header */
std::optional<received_datagram>
split_datagram(std::span<const std::uint8_t> bytes);

} // namespace turmericlane
